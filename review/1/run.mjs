// Rule Fault: an entry of another writer, with a byte that can't be read, stands in the store. Processes that end by
// themselves are counted.
import { Buffer } from "node:buffer";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { apiKey, createDocumentConfiguration, host } from "../configuration.mjs";
import { send } from "../consumer.mjs";
import { Deployment } from "../deployment.mjs";
import { Record } from "../record.mjs";
import { Runner } from "../runner.mjs";
import { Store } from "../store.mjs";

const hasTrouble = process.env["TROUBLE"] !== "0";
const folder = dirname(fileURLToPath(import.meta.url));
const machines = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const requestsPerSecond = 20;
const calmSeconds = 8;
const totalSeconds = 40;
/** "on a tenth of the machines in use (two at least) processes end by themselves three times in the day" */
const endsPerMachine = 3;
const minimumMachines = 2;

const record = new Record(join(folder, "record.txt"));
const store = await Store.create("127.0.0.1");
const deployment = new Deployment(join(folder, "..", ".."), record, store.address);
const runners = [1, 2, 3].map(number =>
    new Runner({
        name: `docs-${number}`,
        service: "docs",
        host: "127.0.0.1",
        store,
        begin: ({ runner, requestId }) => {
            record.write(`run ${requestId} on ${runner.id}`);
            return false;
        },
    })
);
let exitCode = 2;
try {
    store.put("op/config", createDocumentConfiguration());
    for (const runner of runners) {
        await runner.start();
    }
    await deployment.start(machines);
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

async function play() {
    const counts = { before: [0, 0], after: [0, 0] };
    const sending = [];
    const begin = record.getSeconds();
    let isOdd = false;
    for (let number = 1; record.getSeconds() - begin < totalSeconds; number += 1) {
        if (!isOdd && record.getSeconds() - begin >= calmSeconds) {
            isOdd = true;
            if (hasTrouble) {
                putOddEntry();
            }
        }
        sending.push(sendOne(number, isOdd ? counts.after : counts.before));
        await sleep(1_000 / requestsPerSecond);
    }
    await Promise.all(sending);
    for (const { name, ends } of deployment.nodes) {
        record.report(`${name}: its process ended by itself ${ends} times.`);
    }
    for (const [name, [sent, served]] of Object.entries(counts)) {
        record.report(`${name}: ${served} of ${sent} requests were served.`);
    }
    const [sent, served] = counts.before;
    if (served < sent) {
        record.report("Not all requests were served in calm.");
        return 2;
    }
    const failing = deployment.nodes.filter(({ ends }) => ends >= endsPerMachine);
    const isBroken = failing.length >= Math.max(minimumMachines, machines.length / 10);
    record.report(isBroken ? "Fault: broken." : "Fault: held.");
    return isBroken ? 1 : 0;
}

/** Another writer's entry: that of a runner, but one byte of its address can't be read (0xff never occurs in UTF-8). */
function putOddEntry() {
    const text = JSON.stringify({
        service: "docs",
        address: "127.0.0.?1:8080",
        zone: "zone-a",
        version: "v1",
        slots: 6,
        state: "ready",
        cold_left_ms: 0,
        sequence: 1,
        born: Date.now(),
    });
    const bytes = Buffer.from(text);
    bytes[bytes.indexOf("?")] = 0xff;
    record.write("the entry servers/i-other of another writer is written");
    store.put("servers/i-other", bytes);
}

async function sendOne(number, counts) {
    const isSafe = number % 2 === 0;
    const nodes = deployment.listIn();
    const node = nodes[number % nodes.length];
    const requestId = `r${String(number).padStart(6, "0")}`;
    const path = `${isSafe ? "/fetch/" : "/summary/"}${number}`;
    counts[0] += 1;
    record.write(`sent ${requestId} ${path} to ${node.name}`);
    const { status, isComplete, error } = await send({
        address: node.front,
        method: isSafe ? "GET" : "POST",
        path,
        headers: {
            Host: host,
            "Request-Id": requestId,
            "Request-Deadline-Ms": "1500",
            Authorization: `Bearer ${apiKey}`,
        },
        body: isSafe ? "" : "what is asked",
        timeoutMilliseconds: 1_500,
    });
    counts[1] += status === 200 && isComplete ? 1 : 0;
    record.write(`answered ${requestId} ${status} ${isComplete ? "complete" : "incomplete"} ${error}`);
}
