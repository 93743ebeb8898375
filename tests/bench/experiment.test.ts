import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Experiment } from "../../bench/experiment/experiment.ts";
import { experimentSettingsSchema } from "../../bench/experiment/experimentSettings.ts";
import { Mechanism } from "../../bench/experiment/mechanism.ts";
import { readExperiment } from "../../bench/experiment/readExperiment.ts";
import { type RunSummary, summarizeRuns } from "../../bench/experiment/summarizeRuns.ts";

const seeds = [1, 2];

function readLoad(load: string) {
    return readExperiment(new URL(`../../bench/experiment/loads/${load}.jsonc`, import.meta.url)).unwrap();
}

function runLoad(load: string, without: Mechanism[] = []): RunSummary {
    const settings = readLoad(load);
    return summarizeRuns(seeds.map(seed => Experiment.run({ settings, seed, without: new Set(without) })));
}

describe("Routing decisions under a simulated load", () => {
    it("serve normal traffic in time without refusals by endpoints", () => {
        const { goodput, refusedPart } = runLoad("calm");
        assert.ok(goodput.least > 0.99, `${goodput.least}`);
        assert.equal(refusedPart, 0);
    });

    it("serve a lasting load of 1.5 times the normal one in time", () => {
        const { goodput } = runLoad("overload-1.5x");
        assert.ok(goodput.least > 0.98, `${goodput.least}`);
    });

    it("keep goodput high and even over time at twice the load, with few refusals by endpoints", () => {
        const { goodput, worstOfBest, refusedPart, preemptedPart } = runLoad("overload-2x");
        assert.ok(goodput.least > 0.85, `${goodput.least}`);
        assert.ok(worstOfBest > 0.7, `${worstOfBest}`);
        assert.ok(refusedPart < 0.02, `${refusedPart}`);
        assert.ok(preemptedPart < 0.01, `${preemptedPart}`);
    });

    it("keep goodput even at four times the load, over time and across customers, with few refusals", () => {
        const { goodput, worstOfBest, refusedPart, preemptedPart, customerShortfall } = runLoad("overload-4x");
        assert.ok(goodput.least > 0.55, `${goodput.least}`);
        assert.ok(worstOfBest > 0.65, `${worstOfBest}`);
        assert.ok(refusedPart < 0.02, `${refusedPart}`);
        assert.ok(preemptedPart < 0.01, `${preemptedPart}`);
        assert.ok(customerShortfall < 0.1, `${customerShortfall}`);
    });

    it("serve in time again within two seconds after an overload ends", () => {
        const { windows } = runLoad("overload-4x");
        for (const { from, asked, inAim } of windows.filter(window => window.from >= 26)) {
            assert.ok(inAim > 0.95 * asked, `${inAim} of ${asked} from second ${from}`);
        }
    });

    it("keep each customer's share while one customer sends half of the requests and callers retry at once", () => {
        const { goodput, customerShortfall } = runLoad("impatient");
        assert.ok(goodput.least > 0.85, `${goodput.least}`);
        assert.ok(customerShortfall < 0.1, `${customerShortfall}`);
    });

    it("depend on fast gossip: without it, endpoints refuse far more attempts", () => {
        assert.ok(runLoad("overload-4x", [Mechanism.FastGossip]).refusedPart > 0.1);
    });

    it("depend on the order by timeliness: without it, far fewer requests are served in time", () => {
        const { goodput } = runLoad("overload-4x", [Mechanism.Timeliness]);
        assert.ok(goodput.most < 0.53, `${goodput.most}`);
    });

    // Guards against a first rank that is served worst: without a reserve, any rank takes the memory that is free when it arrives.
    it("serve the first rank through a burst of the last one with a quarter of the endpoints gone", () => {
        const settings = readLoad("rank-flood");
        const run = (without: Mechanism[]) =>
            seeds.map(seed => Experiment.run({ settings, seed, without: new Set(without) }).ranks);
        const without = run([Mechanism.RankReserve]);
        for (const [index, [first, second, last]] of run([]).entries()) {
            assert.ok(first!.worthShare > 0.97, `${first!.worthShare}`);
            assert.ok(first!.refused < 0.01 * first!.asked, `${first!.refused} of ${first!.asked}`);
            assert.ok(second!.worthShare < first!.worthShare, `${second!.worthShare}`);
            assert.ok(last!.worthShare > 0.4, `${last!.worthShare}`);
            const gain = first!.worthShare - without[index]![0]!.worthShare;
            assert.ok(gain > 0.03, `${gain}`);
        }
    });

    // Guards against admission by reported memory alone: with more nodes, many reports are missing, so that endpoints refuse requests
    // of the first rank. Shares follow from the mean demand of the nodes that report, and so do the loads that are expected of the others.
    it("serve the first rank better with shares, and with expected loads, where nodes know little of each other's requests", () => {
        const settings = { ...readLoad("rank-flood"), nodes: 22 };
        const run = (without: Mechanism[]) => Experiment.run({ settings, seed: 1, without: new Set(without) });
        const [both, shares, reserveAlone, neither] = [
            run([]),
            run([Mechanism.ExpectedLoads]),
            run([Mechanism.ExpectedLoads, Mechanism.RankShares]),
            run([Mechanism.ExpectedLoads, Mechanism.RankShares, Mechanism.RankReserve]),
        ].map(({ ranks }) => ranks[0]!.worthShare);
        assert.ok(both! > shares! + 0.03, `${both} and ${shares}`);
        assert.ok(shares! > reserveAlone! + 0.03, `${shares} and ${reserveAlone}`);
        assert.ok(shares! > neither! + 0.03, `${shares} and ${neither}`);
    });

    // Guards against waves of requests at one data centre after the other: where most reports of other nodes are missing, all nodes
    // filled the endpoints that their last readings showed as free, so that requests waited there for memory and were late.
    it("serve in time where nodes know little of each other's requests and data centres differ in capacity", () => {
        const { goodput, refusedPart, preemptedPart } = runLoad("uneven-columns");
        assert.ok(goodput.least > 0.99, `${goodput.least}`);
        assert.ok(refusedPart < 0.01, `${refusedPart}`);
        assert.ok(preemptedPart < 0.01, `${preemptedPart}`);
    });

    // Guards against decisions by rank where all routes have one: the same load must be decided as without them.
    it("don't depend on ranks where all routes have one rank", () => {
        const settings = readLoad("rank-flood");
        const routes = settings.routes.map(route => ({ ...route, rank: 3 }));
        const bursts = settings.bursts.map(burst => ({ ...burst, rank: undefined, factor: 2 }));
        const oneRank = { ...settings, routes, bursts, durationSeconds: 12 };
        const run = (without: Mechanism[]) => Experiment.run({ settings: oneRank, seed: 1, without: new Set(without) });
        assert.deepEqual(run([]), run([Mechanism.RankReserve, Mechanism.RankShares]));
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
