import { FoxleadNode } from "./foxleadNode.ts";
import { ConsolaEventLog } from "./logging/consolaEventLog.ts";
import { logFatalErrors } from "./logging/logFatalErrors.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";
import { systemClock } from "./systemClock.ts";

/**
 * Runs a node until SIGTERM or SIGINT shuts it down. A second signal, or the shutdown deadline of the settings, aborts the
 * requests that are still running; each gets the answer that matches its state.
 */
export async function runNode(settings: NodeSettings): Promise<void> {
    const log = ConsolaEventLog.create({ level: settings.logging.level, vm: settings.vm });
    logFatalErrors(log);
    const node = await FoxleadNode.create({ settings, log, clock: systemClock, random: Math.random });
    await node.start();
    await waitForSignal();
    const { promise: deadline, cancel } = createDeadline(settings.shutdownMilliseconds);
    await node.stop(Promise.race([deadline, waitForSignal()]));
    cancel();
}

function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        const onSignal = () => {
            process.off("SIGTERM", onSignal);
            process.off("SIGINT", onSignal);
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}

function createDeadline(milliseconds: number): { promise: Promise<void>; cancel(): void; } {
    let cancel: () => void = () => undefined;
    const promise = new Promise<void>(resolve => {
        const timer = setTimeout(resolve, milliseconds);
        cancel = () => clearTimeout(timer);
    });
    return { promise, cancel };
}
