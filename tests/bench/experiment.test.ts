import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Experiment } from "../../bench/experiment/experiment.ts";
import { experimentSettingsSchema } from "../../bench/experiment/experimentSettings.ts";
import { Mechanism } from "../../bench/experiment/mechanism.ts";
import { readExperiment } from "../../bench/experiment/readExperiment.ts";
import { type RunSummary, summarizeRuns } from "../../bench/experiment/summarizeRuns.ts";

const seeds = [1, 2];

function play(load: string, without: Mechanism[] = []): RunSummary {
    const settings = readExperiment(new URL(`../../bench/experiment/loads/${load}.jsonc`, import.meta.url)).unwrap();
    return summarizeRuns(seeds.map(seed => Experiment.run({ settings, seed, without: new Set(without) })));
}

describe("The decisions under a simulated load", () => {
    it("serve calm traffic in time", () => {
        const { goodput, refusedPart } = play("calm");
        assert.ok(goodput.least > 0.99, `${goodput.least}`);
        assert.equal(refusedPart, 0);
    });

    it("serve half as much again in time, for as long as it lasts", () => {
        const { goodput } = play("overload-1.5x");
        assert.ok(goodput.least > 0.98, `${goodput.least}`);
    });

    it("serve at twice the load what the endpoints take, evenly, and find out by refusals of endpoints hardly ever", () => {
        const { goodput, worstOfBest, refusedPart, preemptedPart } = play("overload-2x");
        assert.ok(goodput.least > 0.85, `${goodput.least}`);
        assert.ok(worstOfBest > 0.7, `${worstOfBest}`);
        assert.ok(refusedPart < 0.02, `${refusedPart}`);
        assert.ok(preemptedPart < 0.01, `${preemptedPart}`);
    });

    it("serve at four times the load no less at any time than at its best, but for what chance does to few requests", () => {
        const { goodput, worstOfBest, refusedPart, preemptedPart, customerShortfall } = play("overload-4x");
        assert.ok(goodput.least > 0.55, `${goodput.least}`);
        assert.ok(worstOfBest > 0.65, `${worstOfBest}`);
        assert.ok(refusedPart < 0.02, `${refusedPart}`);
        assert.ok(preemptedPart < 0.01, `${preemptedPart}`);
        assert.ok(customerShortfall < 0.1, `${customerShortfall}`);
    });

    it("serve in time again within two seconds after the load has ended", () => {
        const { windows } = play("overload-4x");
        for (const { from, asked, inAim } of windows.filter(window => window.from >= 26)) {
            assert.ok(inAim > 0.95 * asked, `${inAim} of ${asked} from second ${from}`);
        }
    });

    it("keep a customer's share while another sends half of all, and callers come back at once", () => {
        const { goodput, customerShortfall } = play("impatient");
        assert.ok(goodput.least > 0.85, `${goodput.least}`);
        assert.ok(customerShortfall < 0.1, `${customerShortfall}`);
    });

    it("need fast news of peers: without it endpoints refuse many times as much", () => {
        assert.ok(play("overload-4x", [Mechanism.News]).refusedPart > 0.1);
    });

    it("need the order by time: without it far fewer are served in time", () => {
        const { goodput } = play("overload-4x", [Mechanism.Timeliness]);
        assert.ok(goodput.most < 0.53, `${goodput.most}`);
    });

    it("are the same for the same seed", () => {
        const settings = experimentSettingsSchema.parse({
            purpose: "A second of load.",
            nodes: 2,
            durationSeconds: 2,
            arrivalsPerSecond: 20,
            endpoints: [{ kind: "fast", count: 3, layers: [0, 30] }, { kind: "fast", count: 3, layers: [30, 80] }],
        });
        const run = () => Experiment.run({ settings, seed: 7 });
        assert.deepEqual(run(), run());
    });
});
