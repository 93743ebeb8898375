/**
 * Worker thread that plays a crowd. It posts `sent` once no connection can send any more, because all is sent, the connection is closed or
 * the program has stopped to read from it. A message to it makes the crowd leave, and is answered with `left`.
 */
import { connect, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import type { CrowdPlan } from "./crowdPlan.ts";

/** A connection that could write nothing for this time is taken for one that the program does not read. */
const unreadMilliseconds = 2_000;
const renewalMilliseconds = 50;

const plan = workerData as CrowdPlan;
const block = Buffer.from(plan.block, "latin1");
const sockets = new Set<Socket>();
let hasLeft = false;
let hasPostedSent = false;
let lastWriteAt = performance.now();
/** Number of the connections opened first that can still send. Those that are opened again come and go for as long as the crowd stays. */
let sending = plan.connections;

for (let count = 0; count < plan.connections; count += 1) {
    open(true);
}
const timer = setInterval(() => {
    if (sending === 0 || performance.now() - lastWriteAt > unreadMilliseconds) {
        postSent();
    }
}, 100);
parentPort!.once("message", () => {
    hasLeft = true;
    clearInterval(timer);
    for (const socket of sockets) {
        socket.destroy();
    }
    parentPort!.postMessage("left");
});

function postSent(): void {
    if (!hasPostedSent) {
        hasPostedSent = true;
        parentPort!.postMessage("sent");
    }
}

function open(isFirst: boolean): void {
    const socket = connect({ host: "127.0.0.1", port: plan.port });
    sockets.add(socket);
    let isSending = true;
    const stopSending = () => {
        sending -= Number(isSending && isFirst);
        isSending = false;
    };
    let blocksLeft = plan.blocks;
    const send = () => {
        let hasRoom = true;
        while (hasRoom && blocksLeft > 0 && !socket.destroyed) {
            blocksLeft -= 1;
            lastWriteAt = performance.now();
            hasRoom = socket.write(block);
        }
        if (blocksLeft === 0 && isSending) {
            socket.write(plan.tail ?? "", () => lastWriteAt = performance.now());
            stopSending();
        }
    };
    socket.once("connect", () => {
        socket.write(plan.head);
        send();
    });
    socket.on("drain", send);
    socket.on("error", () => undefined);
    socket.once("close", () => {
        sockets.delete(socket);
        stopSending();
        if (plan.isRenewed === true && !hasLeft) {
            setTimeout(() => open(false), renewalMilliseconds);
        }
    });
    if (plan.reads) {
        socket.resume();
    }
}
