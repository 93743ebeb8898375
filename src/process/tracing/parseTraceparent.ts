import type { TraceContext } from "./traceContext.ts";

const pattern = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const knownVersion = "00";
const invalidVersion = "ff";
const sampledFlag = 1;

/**
 * Parses a `traceparent` header as defined in W3C Trace Context, section 3.2. Later versions may append parts, version 00
 * may not.
 * @returns The context, or undefined if the header is absent or malformed, in which case a new trace starts.
 */
export function parseTraceparent(header: string | undefined): TraceContext | undefined {
    const match = header === undefined ? null : pattern.exec(header);
    if (match === null) {
        return undefined;
    }
    const [, version, traceId = "", spanId = "", flags = "", rest] = match;
    if (version === invalidVersion || (version === knownVersion && rest !== undefined)) {
        return undefined;
    }
    if (isAllZero(traceId) || isAllZero(spanId)) {
        return undefined;
    }
    return { traceId, spanId, sampled: (Number.parseInt(flags, 16) & sampledFlag) !== 0 };
}

function isAllZero(digits: string): boolean {
    return /^0+$/.test(digits);
}
