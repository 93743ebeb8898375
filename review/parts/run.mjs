// Rules BUDGET and LOST: one part of prompts crashes each runner that begins to write an answer on it. Requests with it come
// at any machine, no two alike. Sound requests share their caller and their other parts.
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { apiKey, createModelConfiguration, host } from "../standins/configuration.mjs";
import { send } from "../standins/consumer.mjs";
import { bounds, Deployment } from "../standins/deployment.mjs";
import { Record } from "../standins/record.mjs";
import { Runner } from "../standins/runner.mjs";
import { Store } from "../standins/store.mjs";

const hasTrouble = process.env["TROUBLE"] !== "0";
/** Number of parts that harmful and sound requests share, before the part in which they differ. */
const commonParts = Number(process.env["COMMON_PARTS"] ?? 17);
const folder = dirname(fileURLToPath(import.meta.url));
const machines = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const soundPerSecond = 10;
const harmfulIntervalMilliseconds = 500;
const harmfulFromSeconds = 10;
const totalSeconds = 50;
const events = 10;
/** From the start of the run to its first token, at which the runner crashes. */
const readMilliseconds = 40;
const downMilliseconds = 4_000;
const crashesBefore = 5;
const allowedRequests = 3;
const minimumCount = 20;
const startMilliseconds = 20_000;
const harmfulPart = "badc0de";

const record = new Record(join(folder, "record.txt"));
const store = await Store.create("127.0.0.1");
const deployment = new Deployment(join(folder, "..", ".."), record, store.address);
const crashTimes = [];
const arrivals = [];
const sound = [];
let isEnding = false;
const runners = Array.from({ length: 8 }, (_unused, index) =>
    new Runner({ name: `model-${index + 1}`, service: "model", kind: "a100", slots: 134, events, host: "127.0.0.1", store, begin }));
let exitCode = 2;
try {
    store.put("op/config", createModelConfiguration());
    for (const runner of runners) {
        await runner.start();
    }
    await deployment.start(machines);
    await waitForLayers();
    exitCode = await play();
}
catch (error) {
    record.report(`The case could not run: ${error.stack}`);
}
finally {
    isEnding = true;
    await deployment.close();
    for (const runner of runners) {
        await runner.close();
    }
    await store.close();
    record.close();
}
process.exit(exitCode);

/** Called when a runner takes a request up. */
function begin({ runner, request, response, requestId }) {
    const isHarmful = request.headers["prompt-prefix"].split(",").slice(0, -1).some(part => part.startsWith(`${harmfulPart}:`));
    record.write(`taken up ${requestId} by ${runner.id}${isHarmful ? ", with the part" : ""}`);
    if (isHarmful) {
        arrivals.push(record.getSeconds());
    }
    const { id } = runner;
    setTimeout(() => {
        if (runner.id !== id || !runner.isRunning || response.destroyed) {
            return;
        }
        if (isHarmful && hasTrouble) {
            crash(runner);
            return;
        }
        runner.stream(request, response);
    }, readMilliseconds);
    return true;
}

function crash(runner) {
    record.write(`crash of ${runner.id}`);
    crashTimes.push(record.getSeconds());
    runner.crash();
    setTimeout(() => {
        if (!isEnding) {
            void runner.start().then(() => record.write(`start of ${runner.id}`));
        }
    }, downMilliseconds);
}

async function waitForLayers() {
    for (let waited = 0; waited < startMilliseconds; waited += 100) {
        if (runners.every(({ layers }) => layers !== null)) {
            await sleep(1_500);
            return;
        }
        await sleep(100);
    }
    throw new Error("The runners hold no layers in time.");
}

async function play() {
    const sending = [];
    const begin = record.getSeconds();
    let harmful = 0;
    for (let number = 1; record.getSeconds() - begin < totalSeconds; number += 1) {
        sending.push(sendOne(number, false));
        const due = (record.getSeconds() - begin - harmfulFromSeconds) * 1_000 / harmfulIntervalMilliseconds;
        if (due > harmful) {
            harmful += 1;
            sending.push(sendOne(number, true, harmful));
        }
        await sleep(1_000 / soundPerSecond);
    }
    await Promise.all(sending);
    const fifth = crashTimes[crashesBefore - 1] ?? crashTimes.at(-1) ?? begin + harmfulFromSeconds;
    const settle = bounds.settle_window_ms / 1_000;
    const late = hasTrouble ? arrivals.filter(at => at > fifth + settle).length : 0;
    const before = getShare(sound.filter(({ at }) => at < begin + harmfulFromSeconds));
    const after = getShare(sound.filter(({ at }) => at > fifth + 2 * settle));
    record.report(`Requests with the part: sent ${harmful}, reached runners ${arrivals.length} times, crashes ${crashTimes.length}.`);
    record.report(`Of them later than ${settle} s after the fifth crash: ${late}; allowed: ${allowedRequests}.`);
    record.report(`Sound requests begun at the first attempt: ${before.text} before, ${after.text} from ${2 * settle} s after the fifth crash.`);
    if (before.share < 0.9 || before.count < minimumCount || after.count < minimumCount || hasTrouble && crashTimes.length === 0) {
        record.report("Too few requests were sent or served in calm, or there was no crash.");
        return 2;
    }
    const isBudgetBroken = late > allowedRequests;
    const isLostBroken = after.share < before.share / 2;
    record.report(`BUDGET: ${isBudgetBroken ? "broken" : "held"}. LOST: ${isLostBroken ? "broken" : "held"}.`);
    return isBudgetBroken || isLostBroken ? 1 : 0;
}

function getShare(requests) {
    const begun = requests.filter(({ hasBegun }) => hasBegun).length;
    return { count: requests.length, share: begun / Math.max(1, requests.length), text: `${begun} of ${requests.length}` };
}

async function sendOne(number, isHarmful, turn = number) {
    const nodes = deployment.listIn();
    const node = nodes[turn % nodes.length];
    const requestId = `${isHarmful ? "h" : "s"}${String(number).padStart(6, "0")}`;
    const common = Array.from({ length: commonParts }, (_unused, index) => `c0${index.toString(16).padStart(2, "0")}:20`);
    const own = `${isHarmful ? "f" : "e"}${number.toString(16)}:100`;
    const differing = isHarmful ? `${harmfulPart}:60` : `d0${number % 5}:60`;
    const at = record.getSeconds();
    record.write(`sent ${requestId} to ${node.name}`);
    const { status, isComplete, body, error } = await send({
        address: node.front,
        method: "POST",
        path: `/explain/${requestId}`,
        headers: {
            Host: host,
            "Request-Id": requestId,
            "Request-Deadline-Ms": "20000",
            Authorization: `Bearer ${apiKey}`,
            Model: "m",
            "Token-Counts": `${commonParts * 20 + 160},30`,
            "Prompt-Prefix": [...common, differing, own].join(","),
        },
        body: `what is asked ${requestId}`,
        timeoutMilliseconds: 20_000,
    });
    if (!isHarmful) {
        sound.push({ at, hasBegun: status === 200 && body.length > 0 });
    }
    record.write(`answered ${requestId} ${status} ${isComplete ? "complete" : "incomplete"} ${error}`);
}
