import type fc from "fast-check";
import { type PlatformError, PlatformErrorKind } from "../../../src/process/platform/platformError.ts";
import type { PlatformStore } from "../../../src/process/platform/platformStore.ts";
import { Err } from "../../../src/result.ts";
import { MemoryStore } from "../../support/memoryStore.ts";

/** Simulated behavior of a store call. */
export type CallBehavior = "answered" | "lostAnswer" | "lostRequest" | "lateWrite" | "notDone";

const unknown: PlatformError = { kind: PlatformErrorKind.OutcomeUnknown, message: "The answer was lost." };
const notDone: PlatformError = { kind: PlatformErrorKind.NotDone, message: "The store is down." };

/**
 * Creates a store whose calls take effect and respond in the order chosen by fast-check's scheduler. A late write may take
 * effect at any time, also after its caller received an unknown outcome.
 */
export function createScheduledStore(scheduler: fc.Scheduler, getNextBehavior: () => CallBehavior): PlatformStore {
    const memory = MemoryStore.create();
    async function run<T>(call: () => Promise<T>, label: string): Promise<T | ReturnType<typeof Err<PlatformError>>> {
        const behavior = getNextBehavior();
        if (behavior === "lateWrite") {
            void scheduler.schedule(Promise.resolve(), `late ${label}`).then(call);
        }
        await scheduler.schedule(Promise.resolve(), `${behavior} ${label}`);
        if (behavior === "notDone") {
            return Err(notDone);
        }
        if (behavior === "lostRequest" || behavior === "lateWrite") {
            return Err(unknown);
        }
        const answer = await call();
        await scheduler.schedule(Promise.resolve(), `answer ${label}`);
        return behavior === "lostAnswer" ? Err(unknown) : answer;
    }
    return Object.assign(Object.create(memory) as PlatformStore, {
        list: (prefix: string, fromKey: string | undefined, limit: number) =>
            run(() => memory.list(prefix, fromKey, limit), `list ${fromKey}`),
        compareAndSwap: (key: string, revision: number, value: string) =>
            run(() => memory.compareAndSwap(key, revision, value), `swap ${key} ${revision}`),
    });
}
