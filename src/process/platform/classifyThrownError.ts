import { CallEffect } from "./callEffect.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";

/**
 * Makes the typed error of an exchange that ended without an answer. A call that failed while its connection was being
 * opened was never sent; any other may have reached the service.
 * @param error - What undici threw.
 * @param effect - What the call may do.
 * @param address - Address of the service as `host:port`, for the message.
 */
export function classifyThrownError(error: unknown, effect: CallEffect, address: string): PlatformError {
    const reason = error instanceof Error ? error.message : String(error);
    if (effect === CallEffect.Read || hasFailedToConnect(error)) {
        return {
            kind: PlatformErrorKind.NotDone,
            message:
                `The platform's service at ${address} gave no answer (${reason}). Try again later; check the address.`,
        };
    }
    return {
        kind: PlatformErrorKind.OutcomeUnknown,
        message:
            `The answer of the platform's service at ${address} was lost (${reason}). Read the state before writing again.`,
    };
}

function hasFailedToConnect(error: unknown): boolean {
    if (!(error instanceof Error)) {
        return false;
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
