import { once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import type { LeavingCallersPlan } from "./leavingCallersPlan.ts";

const busyMilliseconds = 900;
const leaveMilliseconds = 200;
/** Time in which all forwarded requests arrive. */
const settleMilliseconds = 300;

/**
 * Makes callers send requests and disconnect while this thread is blocked, and waits until the effects have arrived.
 */
export async function leaveWhileBusy(
    { address, ...callers }: Omit<LeavingCallersPlan, "host" | "port" | "leaveMilliseconds"> & { address: string; },
): Promise<void> {
    const [host, port] = address.split(":");
    const plan: LeavingCallersPlan = { ...callers, host: host!, port: Number(port), leaveMilliseconds };
    const worker = new Worker(new URL("./leavingCallers.ts", import.meta.url), { workerData: plan });
    await once(worker, "message");
    worker.postMessage("leave");
    const end = performance.now() + busyMilliseconds;
    while (performance.now() < end) {
        // Blocks the thread.
    }
    await once(worker, "message");
    await wait(settleMilliseconds);
    await worker.terminate();
}
