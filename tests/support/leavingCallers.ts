/** Worker thread whose callers disconnect while the test's thread, which also runs the node, is blocked. */
import { connect, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { parentPort, workerData } from "node:worker_threads";
import type { LeavingCallersPlan } from "./leavingCallersPlan.ts";

const { host, port, key, path, count, keepsConnections, leaveMilliseconds } = workerData as LeavingCallersPlan;

const sockets = keepsConnections ? await Promise.all(Array.from({ length: count }, () => open())) : [];
for (const [index, socket] of sockets.entries()) {
    const answered = new Promise(resolve => socket.once("data", resolve));
    socket.write(createRequest(`early-${index}`));
    await answered;
}
// Waits for the rest of the answers.
await wait(200);
parentPort!.once("message", () => void leave());
parentPort!.postMessage("ready");

async function leave(): Promise<void> {
    for (let index = 0; index < count; index++) {
        const socket = sockets[index] ?? await open();
        socket.write(createRequest(`left-${index}`));
        setTimeout(() => socket.end(), leaveMilliseconds);
    }
    await wait(leaveMilliseconds);
    parentPort!.postMessage("left");
}

function open(): Promise<Socket> {
    return new Promise((resolve, reject) => {
        const socket = connect(port, host, () => resolve(socket));
        socket.on("error", reject);
        socket.resume();
    });
}

function createRequest(id: string): string {
    const head = [`POST ${path} HTTP/1.1`, "host: one.example", `request-id: ${id}`, "request-deadline-ms: 5000"];
    return `${[...head, `authorization: Bearer ${key}`, "content-length: 0"].join("\r\n")}\r\n\r\n`;
}
