import { callerKey } from "../../standins/router/callerKey.ts";

/** Options of {@link createCrowdHead}. */
interface CrowdHeadOptions {
    /** Path, which selects the route. */
    path: string;
    /** Framing of the body, as a header line. Default: no body. */
    framing?: string;
    /** API key. Default: a known one. */
    key?: string;
}

/** Creates the head of a request of a crowd. */
export function createCrowdHead({ path, framing, key = callerKey }: CrowdHeadOptions): string {
    const lines = [
        `POST ${path} HTTP/1.1`,
        "Host: one.example",
        "Request-Id: crowd",
        `Authorization: Bearer ${key}`,
        "Token-Counts: 10,5",
    ];
    if (framing !== undefined) {
        lines.push(framing);
    }
    return `${lines.join("\r\n")}\r\n\r\n`;
}
