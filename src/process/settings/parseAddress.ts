import { isIPv4, isIPv6 } from "node:net";
import type { Address } from "./address.ts";

const addressPattern = /^(?:\[(?<bracketed>[0-9a-fA-F:.]+)\]|(?<plain>[0-9.]+)):(?<port>\d{1,5})$/;
const maximumPort = 65_535;

/**
 * Parses `host:port` with an IP address as host, such as `127.0.0.1:8080` or `[::1]:8080`.
 * @returns The address, or undefined if the text is not a valid address.
 */
export function parseAddress(text: string): Address | undefined {
    const { bracketed = "", plain = "", port: digits } = addressPattern.exec(text)?.groups ?? {};
    const port = Number(digits);
    if (!(isIPv6(bracketed) || isIPv4(plain)) || port > maximumPort) {
        return undefined;
    }
    return { host: bracketed || plain, port };
}
