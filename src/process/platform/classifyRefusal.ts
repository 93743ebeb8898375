import { CallEffect } from "./callEffect.ts";
import { etcdSchemas } from "./etcdSchemas.ts";
import { PlatformErrorKind } from "./platformError.ts";
import type { PlatformFailure } from "./platformFailure.ts";

const requestTimeoutStatus = 408;
const tooManyRequestsStatus = 429;
const firstServerErrorStatus = 500;

/**
 * Makes the typed error of an answer whose status tells of a failure. Statuses from 400 to 499 refuse the call before
 * it takes effect, but for 408; after the others a write may still take effect.
 * @param status - HTTP status.
 * @param body - Body of the answer, which may hold a gRPC status.
 * @param effect - What the call may do.
 */
export function classifyRefusal(status: number, body: string, effect: CallEffect): PlatformFailure {
    const failure = parseFailure(body);
    const reason = `HTTP status ${status}${failure === undefined ? "" : `: ${failure.message}`}`;
    if (status === tooManyRequestsStatus) {
        return {
            kind: PlatformErrorKind.NotDone,
            message: `The platform's rate limit refused the call (${reason}). Make fewer calls, and try again later.`,
        };
    }
    const isRefused = status < firstServerErrorStatus && status !== requestTimeoutStatus;
    if (effect === CallEffect.Read || isRefused) {
        return {
            kind: PlatformErrorKind.NotDone,
            message: `The platform refused the call (${reason}). Correct the call, or try again later.`,
            grpcCode: failure?.code,
        };
    }
    return {
        kind: PlatformErrorKind.OutcomeUnknown,
        message: `The platform failed during a write (${reason}). Read the state before writing again.`,
        grpcCode: failure?.code,
    };
}

function parseFailure(body: string): { code: number; message: string; } | undefined {
    try {
        return etcdSchemas.failure.safeParse(JSON.parse(body)).data;
    }
    catch {
        return undefined;
    }
}
