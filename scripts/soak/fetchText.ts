import { request } from "undici";

/** A response to a status request. */
interface FetchedText {
    status: number;
    text: string;
}

/** Fetches a URL of a process; undefined if it doesn't respond in time, which is expected during a fault. */
export async function fetchText(url: string, timeoutMilliseconds: number): Promise<FetchedText | undefined> {
    try {
        const response = await request(url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
        return { status: response.statusCode, text: await response.body.text() };
    }
    catch {
        return undefined;
    }
}
