import { isIPv4, isIPv6 } from "node:net";
import type { Address } from "./address.ts";

const addressPattern = /^(?:\[(?<bracketed>[0-9a-fA-F:.]+)\]|(?<plain>[0-9.]+)):(?<port>\d{1,5})$/;
const highestPort = 65_535;

/**
 * Parses `host:port` by IP number, such as `127.0.0.1:8080` or `[::1]:8080`.
 * @param text - Text to parse.
 * @returns The address, or undefined where the text is none.
 */
export function parseAddress(text: string): Address | undefined {
    const { bracketed = "", plain = "", port: digits } = addressPattern.exec(text)?.groups ?? {};
    const port = Number(digits);
    if (!(isIPv6(bracketed) || isIPv4(plain)) || port > highestPort) {
        return undefined;
    }
    return { host: bracketed || plain, port };
}
