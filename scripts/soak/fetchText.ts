import { request } from "undici";

/** An answer to a check. */
interface FetchedText {
    status: number;
    text: string;
}

/** Asks a process of the soak; undefined where it doesn't answer in time, as under a fault it may not. */
export async function fetchText(url: string, timeoutMilliseconds: number): Promise<FetchedText | undefined> {
    try {
        const response = await request(url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
        return { status: response.statusCode, text: await response.body.text() };
    }
    catch {
        return undefined;
    }
}
