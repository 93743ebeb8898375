/** A request crashes each runner that begins to run it, at once, and comes again and again. */
import { dirname } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { call } from "../consumer-2.mjs";
import { Deployment } from "../deployment-2.mjs";
import { runCase } from "../record-2.mjs";
import { Runner } from "../runner-2.mjs";

/** Time for which a runner runs the harmful request before it crashes. With 20, the rule holds. */
const runMilliseconds = Number(process.env["RUN_MILLISECONDS"] ?? 0);
const runnerCount = 6;
const crashMilliseconds = 3_000;
/** `settle_window_ms`. */
const settleMilliseconds = 3_000;
const soundMilliseconds = 4_000;
const harmfulMilliseconds = 25_000;
const soundIntervalMilliseconds = 100;
const harmfulIntervalMilliseconds = 1_200;
/** BUDGET: so many retries may reach runners after the third crash and the settle window. */
const allowedArrivals = 3;
const countedCrashes = 3;

const headers = { authorization: `Bearer ${callerKey}` };
const harmful = { path: "/safe/harmful", body: "the request that crashes runners" };

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble) => {
    const deployment = await Deployment.create(text => record.note(text));
    deployment.configure(createConfiguration(10));
    let isHarmful = false;
    const runners = Array.from({ length: runnerCount }, (_, index) =>
        new Runner({
            deployment,
            record,
            name: `doc-${index + 1}`,
            service: "documents",
            crashDelayMilliseconds: runMilliseconds,
            crashesOn: request => isHarmful && request.url === harmful.path,
            onCrash: (runner, id) => runner.crashFor(crashMilliseconds, `it began to run ${id}`),
        }));
    for (const runner of runners) {
        await runner.start();
    }
    await deployment.startNodes(3);
    await sleep(1_500);
    isHarmful = hasTrouble;
    const results = [];
    let count = 0;
    const send = (kind, request) => {
        count += 1;
        const node = deployment.nodes[count % deployment.nodes.length];
        return call(node.ports.callers, { headers, ...request }).then(result => {
            results.push({ ...result, kind });
            record.note(`${kind}: ${result.id} at ${node.name}: ${result.status} ${result.end} after ${result.milliseconds} ms`);
        });
    };
    const sendFor = async (kind, createRequest, milliseconds, interval) => {
        const sent = [];
        const endsAt = Date.now() + milliseconds;
        while (Date.now() < endsAt) {
            sent.push(send(kind, createRequest()));
            await sleep(interval);
        }
        await Promise.all(sent);
    };
    const sound = sendFor("sound", () => ({ path: "/unsafe/x", body: `sound ${count}` }), soundMilliseconds + harmfulMilliseconds, soundIntervalMilliseconds);
    await sleep(soundMilliseconds);
    await Promise.all([sound, sendFor("harmful", () => harmful, harmfulMilliseconds, harmfulIntervalMilliseconds)]);
    const crashes = runners.flatMap(runner => runner.crashes).map(({ at }) => at).sort((left, right) => left - right);
    const countedFrom = (crashes[countedCrashes - 1] ?? Infinity) + settleMilliseconds;
    const arrivals = runners.flatMap(runner => runner.arrivals).filter(({ url }) => url === harmful.path).sort((left, right) => left.at - right.at);
    // The first arrival of what a consumer sends isn't counted as a retry of the router, though the same request comes again.
    const isRetry = ({ id }, index) => arrivals.slice(0, index).some(other => other.id === id);
    const lateArrivals = arrivals.filter(({ at }) => at > countedFrom);
    const late = arrivals.filter((arrival, index) => arrival.at > countedFrom && isRetry(arrival, index));
    const isServed = ({ status, end }) => status === 200 && end === "complete";
    const soundResults = results.filter(({ kind }) => kind === "sound");
    record.say(`${crashes.length} crashes of runners`);
    record.say(`sound requests served: ${soundResults.filter(isServed).length} of ${soundResults.length}`);
    record.say(`arrivals at runners after the third crash + settle window: ${lateArrivals.length}`);
    record.say(`retries that reached runners after the third crash + settle window: ${late.length} (allowed: ${allowedArrivals})`);
    await deployment.close();
    for (const runner of runners) {
        await runner.close();
    }
    return late.length > allowedArrivals;
});
