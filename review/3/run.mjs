// Rule MIXED: some runners follow the events of some answers with bytes that are no answer and never end. Consumers check
// that what they get in a success is a series of events with increasing ids.
import { Buffer } from "node:buffer";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { apiKey, createModelConfiguration, host } from "../configuration.mjs";
import { send } from "../consumer.mjs";
import { Deployment } from "../deployment.mjs";
import { Record } from "../record.mjs";
import { Runner } from "../runner.mjs";
import { Store } from "../store.mjs";

const hasTrouble = process.env["TROUBLE"] !== "0";
const folder = dirname(fileURLToPath(import.meta.url));
const machines = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const requestsPerSecond = 40;
const totalSeconds = 30;
/** The dose of `garble` in the site file: share 0.6 of the runners, x 0.03 of their answers, for 5 s. */
const troubleFromSeconds = 10;
const troubleSeconds = 5;
const faultyRunners = 3;
const answersPerFault = 34;
const faultAfterEvent = 5;
const events = 20;
const chunkBytes = 4_096;
const startMilliseconds = 20_000;

const record = new Record(join(folder, "record.txt"));
const store = await Store.create("127.0.0.1");
const deployment = new Deployment(join(folder, "..", ".."), record, store.address);
let isTrouble = false;
let faultyAnswers = 0;
let endless = 0;
let randomState = 67;
const runners = [1, 2, 3, 4, 5].map(number =>
    new Runner({ name: `model-${number}`, number, service: "model", kind: "a100", slots: 134, events, host: "127.0.0.1", store, begin })
);
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
    await deployment.close();
    for (const runner of runners) {
        await runner.close();
    }
    await store.close();
    record.close();
}
process.exit(exitCode);

/** Called when a runner begins to work on a request. */
function begin({ runner, request, response, requestId }) {
    record.write(`run ${requestId} on ${runner.id} from event ${Number(request.headers["last-event-id"] ?? 0) + 1}`);
    if (!isTrouble || runner.options.number > faultyRunners) {
        return false;
    }
    faultyAnswers += 1;
    if (faultyAnswers % answersPerFault !== 0) {
        return false;
    }
    endless += 1;
    runner.stream(request, response, id => {
        if (id < faultAfterEvent) {
            return false;
        }
        record.write(`bytes without end to ${requestId} from ${runner.id} after event ${id}`);
        const startedAt = record.getSeconds();
        response.once("close", () => {
            const seconds = record.getSeconds() - startedAt;
            record.write(`the channel of ${requestId} was closed after ${seconds.toFixed(3)} s`);
        });
        sendEndless(response);
        return true;
    });
    return true;
}

/** Sends bytes that are no answer until the caller closes the channel. */
function sendEndless(response) {
    while (!response.destroyed) {
        if (!response.write(createNoise())) {
            response.once("drain", () => sendEndless(response));
            return;
        }
    }
}

/** Creates pseudo-random bytes (xorshift32). */
function createNoise() {
    const bytes = Buffer.alloc(chunkBytes);
    for (let index = 0; index < bytes.length; index += 1) {
        randomState ^= randomState << 13;
        randomState ^= randomState >>> 17;
        randomState ^= randomState << 5;
        bytes[index] = randomState & 0xff;
    }
    return bytes;
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
    const counts = { sent: 0, complete: 0, mixed: 0 };
    const sending = [];
    const begin = record.getSeconds();
    for (let number = 1; record.getSeconds() - begin < totalSeconds; number += 1) {
        const seconds = record.getSeconds() - begin - troubleFromSeconds;
        isTrouble = hasTrouble && seconds >= 0 && seconds < troubleSeconds;
        sending.push(sendOne(number, counts));
        await sleep(1_000 / requestsPerSecond);
    }
    await Promise.all(sending);
    record.report(`${counts.sent} requests, ${counts.complete} whole answers with all events and nothing else.`);
    record.report(`${endless} answers of runners went on without end; ${counts.mixed} successes held bytes that are no events.`);
    if (hasTrouble && endless === 0 || counts.complete < counts.sent * 0.9) {
        record.report("There was no fault, or too few requests were served.");
        return 2;
    }
    record.report(counts.mixed > 0 ? "MIXED: broken." : "MIXED: held.");
    return counts.mixed > 0 ? 1 : 0;
}

async function sendOne(number, counts) {
    const nodes = deployment.listIn();
    const node = nodes[number % nodes.length];
    const requestId = `r${String(number).padStart(6, "0")}`;
    counts.sent += 1;
    record.write(`sent ${requestId} to ${node.name}`);
    const { status, isComplete, error, body, headers } = await send({
        address: node.front,
        method: "POST",
        path: `/explain/${number}`,
        headers: {
            Host: host,
            "Request-Id": requestId,
            "Request-Deadline-Ms": "20000",
            Authorization: `Bearer ${apiKey}`,
            Model: "m",
            "Token-Counts": "800,60",
            "Prompt-Prefix": `5c1e07a2:40,${number.toString(16)}:760`,
        },
        body: "what is asked",
        timeoutMilliseconds: 20_000,
    });
    const { ids, foreignBytes } = readEvents(body, requestId);
    const isWhole = isComplete && foreignBytes === 0 && ids.length === events;
    counts.complete += status === 200 && isWhole ? 1 : 0;
    counts.mixed += status === 200 && foreignBytes > 0 ? 1 : 0;
    record.write(
        `answered ${requestId} ${status} seal ${headers["response-seal"] ?? "none"} ${isComplete ? "complete" : "incomplete"} `
            + `${error} events ${ids.join(",")} other bytes ${foreignBytes}`,
    );
}

/** Takes the events that runners made for a request out of an answer's body, and counts the other bytes. */
function readEvents(body, requestId) {
    const ids = [];
    const pattern = new RegExp(`id: (\\d+)\\ndata: piece \\1 of ${requestId}\\n\\n`, "g");
    const rest = body.toString("latin1").replace(pattern, (_event, id) => {
        ids.push(Number(id));
        return "";
    });
    return { ids, foreignBytes: rest.length };
}
