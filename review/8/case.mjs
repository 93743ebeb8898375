/** One part of a prompt crashes each runner that begins to write an answer on it. The prompts have more than 16 shared parts. */
import { dirname } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { call } from "../two/consumer.mjs";
import { Deployment } from "../two/deployment.mjs";
import { runCase } from "../two/record.mjs";
import { Runner } from "../two/runner.mjs";

/** Place of the harmful part among the shared ones, from 0. With 0 to 15, the rule holds. */
const harmfulPlace = Number(process.env["HARMFUL_PLACE"] ?? 17);
const commonParts = 19;
const harmfulPart = "bad0cafe";
const runnerCount = 6;
const crashMilliseconds = 3_000;
/** `settle_window_ms`. */
const settleMilliseconds = 3_000;
const soundMilliseconds = 5_000;
const harmfulMilliseconds = 30_000;
const soundIntervalMilliseconds = 100;
const harmfulIntervalMilliseconds = 400;
/** BUDGET: so many requests with the part may reach runners after the fifth crash and the settle window. */
const allowedArrivals = 3;
const countedCrashes = 5;

const headers = { authorization: `Bearer ${callerKey}` };

function listShared(request) {
    return String(request.headers["prompt-prefix"]).split(",").slice(0, -1).map(part => part.split(":", 1)[0]);
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble) => {
    const deployment = await Deployment.create(text => record.note(text));
    deployment.configure(createConfiguration(10));
    let isHarmful = false;
    const common = { deployment, record, service: "model", isModel: true, loadMilliseconds: 1_000, events: 8, eventMilliseconds: 50 };
    const runners = Array.from({ length: runnerCount }, (_, index) =>
        new Runner({
            ...common,
            name: `llm-${index + 1}`,
            crashesOn: request => isHarmful && listShared(request).includes(harmfulPart),
            onCrash: (runner, id) => runner.crashFor(crashMilliseconds, `it began to write an answer to ${id}`),
        }));
    for (const runner of runners) {
        await runner.start();
    }
    await deployment.startNodes(3);
    for (let tries = 0; runners.some(({ layers }) => layers === undefined); tries += 1) {
        if (tries > 200) {
            throw new Error("the runners got no layers");
        }
        await sleep(100);
    }
    await sleep(1_500);
    isHarmful = hasTrouble;
    const shared = Array.from({ length: commonParts }, (_, index) => `c0de${index.toString(16).padStart(4, "0")}`);
    const results = [];
    let count = 0;
    const send = (kind, parts) => {
        count += 1;
        const own = (0x10_0000 + count).toString(16);
        const prefix = [...parts, own].map(part => `${part}:10`).join(",");
        const node = deployment.nodes[Math.floor(Math.random() * deployment.nodes.length)];
        const sentAt = Date.now();
        return call(node.ports.callers, {
            path: "/model/x",
            body: `request ${count}`,
            headers: { ...headers, "model": "m", "token-counts": "210,24", "prompt-prefix": prefix },
        }).then(result => {
            results.push({ ...result, kind, sentAt });
            record.note(`${kind}: ${result.id} at ${node.name}: ${result.status} ${result.end} after ${result.milliseconds} ms`);
        });
    };
    const sendFor = async (kind, parts, milliseconds, interval) => {
        const sent = [];
        const endsAt = Date.now() + milliseconds;
        while (Date.now() < endsAt) {
            sent.push(send(kind, parts));
            await sleep(interval);
        }
        await Promise.all(sent);
    };
    const sound = sendFor("sound", shared, soundMilliseconds + harmfulMilliseconds, soundIntervalMilliseconds);
    await sleep(soundMilliseconds);
    const harmful = sendFor("harmful", shared.toSpliced(harmfulPlace, 0, harmfulPart), harmfulMilliseconds, harmfulIntervalMilliseconds);
    await Promise.all([sound, harmful]);
    const crashes = runners.flatMap(runner => runner.crashes).map(({ at }) => at).sort((left, right) => left - right);
    const countedFrom = (crashes[countedCrashes - 1] ?? Infinity) + settleMilliseconds;
    const late = runners.flatMap(({ arrivals }) => arrivals)
        .filter(arrival => arrival.at > countedFrom && listShared(arrival).includes(harmfulPart));
    const isServed = ({ status, end }) => status === 200 && end === "complete";
    const soundResults = results.filter(({ kind }) => kind === "sound");
    const soundFrom = (crashes[countedCrashes - 1] ?? Infinity) + 2 * settleMilliseconds;
    const lateSound = soundResults.filter(({ sentAt }) => sentAt > soundFrom);
    record.say(`${crashes.length} crashes of runners`);
    record.say(`sound requests served: ${soundResults.filter(isServed).length} of ${soundResults.length}; from the fifth crash + 2 x settle window: ${lateSound.filter(isServed).length} of ${lateSound.length}`);
    record.say(`requests with the part that reached runners after the fifth crash + settle window: ${late.length} (allowed: ${allowedArrivals})`);
    await deployment.close();
    for (const runner of runners) {
        await runner.close();
    }
    return late.length > allowedArrivals;
});
