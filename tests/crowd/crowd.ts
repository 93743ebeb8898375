import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { CrowdPlan } from "./crowdPlan.ts";

/** Callers that don't behave, on a thread of their own, so that the stand-ins of the test keep answering. */
export class Crowd {
    private readonly worker: Worker;
    private readonly sent: Promise<unknown>;

    private constructor(plan: CrowdPlan) {
        this.worker = new Worker(new URL("./crowdWorker.ts", import.meta.url), { workerData: plan });
        this.sent = once(this.worker, "message");
    }

    /** Opens the connections of a crowd. */
    static create(plan: CrowdPlan): Crowd {
        return new Crowd(plan);
    }

    /** Waits until the crowd has sent what the program takes. Its connections stay open. */
    async waitUntilSent(): Promise<void> {
        await this.sent;
    }

    /** Closes all connections of the crowd. */
    async leave(): Promise<void> {
        const left = once(this.worker, "message");
        this.worker.postMessage("leave");
        await left;
        await this.worker.terminate();
    }
}
