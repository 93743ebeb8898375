import type { Clock } from "../process/clock.ts";
import type { PlatformError } from "../process/platform/platformError.ts";
import { PlatformErrorKind } from "../process/platform/platformError.ts";
import type { PlatformStore } from "../process/platform/platformStore.ts";
import type { RandomSource } from "../process/randomSource.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { AppliedConfiguration } from "./appliedConfiguration.ts";
import type { ApplyError } from "./applyError.ts";
import { ApplyErrorKind } from "./applyErrorKind.ts";
import { computeRetryDelay } from "./computeRetryDelay.ts";
import type { ConfigurationEdit } from "./configurationEdit.ts";
import { ConfigurationHistory } from "./configurationHistory.ts";
import { decideApply } from "./decideApply.ts";
import { parseConfiguration } from "./parseConfiguration.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

const maximumAttempts = 6;
const retryDelays = { firstMilliseconds: 100, maximumMilliseconds: 2_000 };

/** Options of {@link applyConfiguration}. */
interface ApplyConfigurationOptions extends ConfigurationEdit {
    store: PlatformStore;
    clock: Clock;
    random: RandomSource;
}

/**
 * Writes a configuration to the store as the next version, unless another edit came first. If the response to a write is lost, it
 * reads the store and looks for its own edit, or retries the same compare-and-swap, which can succeed at most once.
 * @param options - The edit, the store, the clock and the source of jitter.
 */
export async function applyConfiguration(
    options: ApplyConfigurationOptions,
): Promise<Result<AppliedConfiguration, ApplyError>> {
    const parsed = parseConfiguration(options.text);
    if (parsed.err) {
        const message =
            `The configuration has ${parsed.val.length} errors. Nothing was written. Correct them and apply it again.`;
        return Err({ kind: ApplyErrorKind.InvalidText, message, faults: parsed.val });
    }
    let mayBeWritten = false;
    let lastError: PlatformError | undefined;
    for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
        if (attempt > 1) {
            await wait(options.clock, computeRetryDelay(attempt - 1, retryDelays, options.random));
        }
        const outcome = await attemptSwap(options);
        if (outcome.ok) {
            return Ok(outcome.val);
        }
        if (outcome.val.kind !== "retry") {
            return Err(outcome.val);
        }
        mayBeWritten ||= outcome.val.mayBeWritten;
        lastError = outcome.val.error ?? lastError;
    }
    return Err(createRetriesExhaustedError(options, mayBeWritten, lastError));
}

/** A failed attempt that may be retried. */
interface Retry {
    kind: "retry";
    /** Whether the attempt may have taken effect. */
    mayBeWritten: boolean;
    error?: PlatformError;
}

async function attemptSwap(
    options: ApplyConfigurationOptions,
): Promise<Result<AppliedConfiguration, ApplyError | Retry>> {
    const { store, clock } = options;
    const read = await store.get(StoredConfiguration.key);
    if (read.err) {
        return Err({ kind: "retry", mayBeWritten: false, error: read.val });
    }
    const step = decideApply(options, read.val?.value, clock.getWallTime());
    if (step.err) {
        return step;
    }
    if (step.val.kind === "written") {
        const { version, isReplaced } = step.val;
        if (!isReplaced && read.val !== undefined) {
            await ConfigurationHistory.save(store, version, read.val.value);
        }
        return Ok({ version, isReplaced });
    }
    const { next, value } = step.val;
    const swap = await store.compareAndSwap(StoredConfiguration.key, read.val?.revision ?? 0, value);
    if (swap.err) {
        const mayBeWritten = swap.val.kind === PlatformErrorKind.OutcomeUnknown;
        return Err({ kind: "retry", mayBeWritten, error: swap.val });
    }
    if (!swap.val.swapped) {
        return Err({ kind: "retry", mayBeWritten: false });
    }
    await ConfigurationHistory.save(store, next.version, value);
    return Ok({ version: next.version, isReplaced: false });
}

function createRetriesExhaustedError(
    options: ApplyConfigurationOptions,
    mayBeWritten: boolean,
    lastError: PlatformError | undefined,
): ApplyError {
    const reason = lastError?.message ?? "Other edits came first on every attempt.";
    if (mayBeWritten) {
        const message = `The edit "${options.editId}" may be in force: responses of the store were lost. `
            + `Apply the same text with the same edit id and version later; it takes effect at most once. ${reason}`;
        return { kind: ApplyErrorKind.OutcomeUnknown, message };
    }
    const message = `Nothing was written. Apply the text again when the platform's store is available. ${reason}`;
    return { kind: ApplyErrorKind.StoreUnavailable, message };
}

function wait(clock: Clock, milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        clock.setTimer(milliseconds, resolve);
    });
}
