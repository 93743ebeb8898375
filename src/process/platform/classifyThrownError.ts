import { CallEffect } from "./callEffect.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";

/**
 * Creates the error for a call that got no response. A call that failed while connecting was never sent; any other call may have
 * reached the service.
 * @param error - Error thrown by undici.
 * @param effect - Whether the call may change state.
 * @param address - Address of the service as `host:port`, for the message.
 */
export function classifyThrownError(error: unknown, effect: CallEffect, address: string): PlatformError {
    const reason = error instanceof Error ? error.message : String(error);
    if (effect === CallEffect.Read || hasFailedToConnect(error)) {
        return {
            kind: PlatformErrorKind.NotDone,
            message:
                `The platform's service at ${address} did not respond (${reason}). Check the address or try again later.`,
        };
    }
    return {
        kind: PlatformErrorKind.OutcomeUnknown,
        message:
            `The response of the platform's service at ${address} was lost (${reason}). Read the state before writing again.`,
    };
}

function hasFailedToConnect(error: unknown): boolean {
    if (!(error instanceof Error)) {
        return false;
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
