import { CallEffect } from "./callEffect.ts";
import { etcdSchemas } from "./etcdSchemas.ts";
import { PlatformErrorKind } from "./platformError.ts";
import type { PlatformFailure } from "./platformFailure.ts";

const requestTimeoutStatus = 408;
const tooManyRequestsStatus = 429;
const firstServerErrorStatus = 500;

/**
 * Creates the error for a response with an error status. A status from 400 to 499, except 408, means that the call had no effect;
 * after any other error a write may still take effect.
 * @param status - HTTP status.
 * @param body - Body of the response, which may contain a gRPC status.
 * @param effect - Whether the call may change state.
 */
export function classifyRefusal(status: number, body: string, effect: CallEffect): PlatformFailure {
    const failure = parseGrpcStatus(body);
    const reason = `HTTP status ${status}${failure === undefined ? "" : `: ${failure.message}`}`;
    if (status === tooManyRequestsStatus) {
        return {
            kind: PlatformErrorKind.NotDone,
            message:
                `The platform's rate limit rejected the call (${reason}). Reduce the call rate and try again later.`,
        };
    }
    const isRejected = status < firstServerErrorStatus && status !== requestTimeoutStatus;
    if (effect === CallEffect.Read || isRejected) {
        return {
            kind: PlatformErrorKind.NotDone,
            message: `The platform rejected the call (${reason}). Correct the call, or try again later.`,
            grpcCode: failure?.code,
        };
    }
    return {
        kind: PlatformErrorKind.OutcomeUnknown,
        message: `The platform failed during a write (${reason}). Read the state before writing again.`,
        grpcCode: failure?.code,
    };
}

function parseGrpcStatus(body: string): { code: number; message: string; } | undefined {
    try {
        return etcdSchemas.failure.safeParse(JSON.parse(body)).data;
    }
    catch {
        return undefined;
    }
}
