/** A runner hands out bytes that are no answer, without end, in the body of a stream. */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { call, createChannel } from "../consumer-2.mjs";
import { Deployment } from "../deployment-2.mjs";
import { runCase } from "../record-2.mjs";
import { Runner } from "../runner-2.mjs";

/** `memory_mb` of the settings of a small deployment (DEPLOY.md, SYSTEM.md). */
const memoryMegabytes = 350;
/** What the faulty runner sends on a channel at most: a third of `link_mbps` (1,000 Mbit/s). */
const faultyBytesPerSecond = 40_000_000;
/** What a consumer reads: a line of 100 Mbit/s. */
const consumerBytesPerSecond = 12_500_000;
/** The faulty runner, one of three, spoils each 34th of its answers for 5 s: `garble` with `share` 0.33, `x` below 0.03, `for_s` 5. */
const spoiledOneIn = 34;
const garbleMilliseconds = 5_000;
const settleMilliseconds = 4_000;
/** Time for which an answer that was spoiled may go on: the deadline of its request is 20 s. */
const endlessMilliseconds = 15_000;
/** The rule allows this many at a machine. */
const allowedLosses = 3;

const headers = { authorization: `Bearer ${callerKey}` };
const streamHeaders = { ...headers, "model": "m", "token-counts": "100,80", "prompt-prefix": "5c1e07a2:80,e4402b7d:20" };

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble) => {
    const deployment = await Deployment.create(text => record.note(text));
    const configuration = createConfiguration(10);
    for (const route of configuration.routes) {
        route.timeout_ms = 20_000;
    }
    deployment.configure(configuration);
    let isFaulty = false;
    let isOver = false;
    let faultyBytes = 0;
    let answerCount = 0;
    /** Sends events beyond all that the request's `Token-Counts` allows, until the caller closes. */
    const answerWithoutEnd = async (runner, request, response) => {
        if (!isFaulty || runner.options.name !== "llm-1") {
            return false;
        }
        answerCount += 1;
        if (answerCount % spoiledOneIn !== 0) {
            return false;
        }
        const id = request.headers["request-id"];
        record.note(`${runner.options.name}: sends bytes without end for ${id}`);
        const filler = "x".repeat(4_000);
        const eventsPerWrite = 64;
        let event = 0;
        let sent = 0;
        const startedAt = Date.now();
        while (!response.destroyed && !isOver) {
            const due = (Date.now() - startedAt) / 1_000 * faultyBytesPerSecond;
            let isTaken = true;
            while (sent < due && isTaken) {
                let text = "";
                for (let index = 0; index < eventsPerWrite; index += 1) {
                    event += 1;
                    text += `id: ${event}\ndata: ${filler}\n\n`;
                }
                isTaken = response.write(text);
                sent += text.length;
                faultyBytes += text.length;
            }
            // Waits as long as the channel takes no more.
            do {
                await sleep(5);
            } while (!isTaken && response.writableNeedDrain && !response.destroyed);
        }
        record.note(`${runner.options.name}: ${id} ended after ${event} events, ${Math.round(sent / 1e6)} MB`);
        response.destroy();
        return true;
    };
    const common = { deployment, record };
    const runners = [
        ...["llm-1", "llm-2", "llm-3"].map(name =>
            new Runner({ ...common, name, service: "model", isModel: true, events: 10, eventMilliseconds: 40, answerStream: answerWithoutEnd })),
        ...["doc-1", "doc-2"].map(name => new Runner({ ...common, name, service: "documents", workMilliseconds: 150 })),
    ];
    for (const runner of runners) {
        await runner.start();
    }
    await deployment.startNodes(3);
    for (let tries = 0; runners.some(({ options, layers }) => options.isModel === true && layers === undefined); tries += 1) {
        if (tries > 200) {
            throw new Error("the runners got no layers");
        }
        await sleep(100);
    }
    const killed = [];
    deployment.watchMemory(memoryMegabytes, (node, megabytes) => killed.push({ node, megabytes, at: Date.now() }));
    /** Requests by id, with what became of them. */
    const results = [];
    const consume = async (index, request) => {
        const agent = createChannel();
        const node = deployment.nodes[index % deployment.nodes.length];
        while (!isOver) {
            const sentAt = Date.now();
            const result = await call(node.ports.callers, { agent, deadline: 20_000, bytesPerSecond: consumerBytesPerSecond, ...request });
            results.push({ ...result, node, sentAt, endedAt: Date.now() });
            const kept = result.isKept ? "kept" : "new";
            record.note(`consumer ${index}: ${result.id} to ${node.name} on a ${kept} channel: ${result.status} ${result.end}`);
            await sleep(result.end === "complete" ? 20 : 500);
        }
        agent.destroy();
    };
    const consumers = [];
    for (let index = 0; index < 36; index += 1) {
        consumers.push(consume(index, { path: "/unsafe/x", headers }));
    }
    for (let index = 0; index < 36; index += 1) {
        consumers.push(consume(index, { path: "/model/x", headers: streamHeaders }));
    }
    await sleep(settleMilliseconds);
    isFaulty = hasTrouble;
    record.note(hasTrouble ? "llm-1 hands out wrong bytes from now on" : "no disruption");
    await sleep(garbleMilliseconds);
    isFaulty = false;
    record.note("llm-1 spoils no more answers; those that are spoiled go on until the caller closes");
    await sleep(endlessMilliseconds);
    isOver = true;
    await Promise.race([Promise.all(consumers), sleep(15_000)]);
    const soundRuns = new Set(runners.filter(({ options }) => options.name !== "llm-1").flatMap(({ runs }) => runs));
    const lost = results.filter(({ id, end, isKept }) => isKept && soundRuns.has(id) && end === "closed");
    for (const { id, node, status, end } of lost) {
        record.note(`LOST: ${id} was passed on to a sound runner by ${node.name}, and its kept channel ended: ${status} ${end}`);
    }
    record.say(`${results.length} requests ended; ${Math.round(faultyBytes / 1e6)} MB came from the faulty runner`);
    record.say(`processes ended for their memory: ${killed.map(({ node, megabytes }) => `${node.name} ${Math.round(megabytes)} MB`).join(", ") || "none"}`);
    record.say(`peak memory: ${deployment.nodes.map(({ name, peakMegabytes }) => `${name} ${Math.round(peakMegabytes)} MB`).join(", ")}`);
    const losses = deployment.nodes.map(({ name }) => lost.filter(({ node }) => node.name === name).length);
    const most = Math.max(...losses);
    record.say(`requests of kept channels that a sound runner had, ended without an answer, by machine: ${losses.join(", ")} (allowed: ${allowedLosses})`);
    await deployment.close();
    for (const runner of runners) {
        await runner.close();
    }
    return most > allowedLosses;
});
