import type fc from "fast-check";
import { type PlatformError, PlatformErrorKind } from "../../../src/process/platform/platformError.ts";
import type { PlatformStore } from "../../../src/process/platform/platformStore.ts";
import { Err } from "../../../src/result.ts";
import { MemoryStore } from "../../support/memoryStore.ts";

/** What becomes of a call. */
export type Fate = "answered" | "lostAnswer" | "lostRequest" | "lateWrite" | "notDone";

const unknown: PlatformError = { kind: PlatformErrorKind.OutcomeUnknown, message: "The answer was lost." };
const notDone: PlatformError = { kind: PlatformErrorKind.NotDone, message: "The store is down." };

/**
 * A store whose calls take effect and are answered when fast-check's scheduler says so. A late write takes effect
 * at any time after its caller was told that the outcome is unknown.
 */
export function createScheduledStore(scheduler: fc.Scheduler, fates: () => Fate): PlatformStore {
    const memory = MemoryStore.create();
    async function run<T>(call: () => Promise<T>, label: string): Promise<T | ReturnType<typeof Err<PlatformError>>> {
        const fate = fates();
        if (fate === "lateWrite") {
            void scheduler.schedule(Promise.resolve(), `late ${label}`).then(call);
        }
        await scheduler.schedule(Promise.resolve(), `${fate} ${label}`);
        if (fate === "notDone") {
            return Err(notDone);
        }
        if (fate === "lostRequest" || fate === "lateWrite") {
            return Err(unknown);
        }
        const answer = await call();
        await scheduler.schedule(Promise.resolve(), `answer ${label}`);
        return fate === "lostAnswer" ? Err(unknown) : answer;
    }
    return Object.assign(Object.create(memory) as PlatformStore, {
        list: (prefix: string, fromKey: string | undefined, limit: number) =>
            run(() => memory.list(prefix, fromKey, limit), `list ${fromKey}`),
        compareAndSwap: (key: string, revision: number, value: string) =>
            run(() => memory.compareAndSwap(key, revision, value), `swap ${key} ${revision}`),
    });
}
