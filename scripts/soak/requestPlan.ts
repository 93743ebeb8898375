import { v7 as createUuid } from "uuid";
import type { SeededRandom } from "./seededRandom.ts";

/** A request that the load sends. */
export interface RequestPlan {
    number: number;
    kind: "chat" | "document";
    service: string;
    isStreamed: boolean;
    prompt: string;
    maximumTokens: number;
    /** Undefined for an idempotent request, which may run more than once. */
    idempotencyKey: string | undefined;
    /** Whether the caller sends the request twice concurrently. */
    isSentTwice: boolean;
    /** Delay before the caller sends the request again through another node, in milliseconds; 0 if it does not. */
    repeatAfterMilliseconds: number;
    /** Time after which the caller disconnects, in milliseconds; 0 if it does not. */
    disconnectAfterMilliseconds: number;
    /** Delay after each chunk that the caller reads, in milliseconds. */
    readDelayMilliseconds: number;
}

/** Shares of the requests by service; the rest goes to `summaries`. */
const shares = { assistant: 0.5, letters: 0.18, receipts: 0.22 };
const sentTwiceShare = 0.12;
const repeatShare = 0.25;
const disconnectShare = 0.04;
const slowReaderShare = 0.04;
const streamedShare = 0.7;
const words = ["explain", "the", "payslip", "of", "march", "ward", "notes", "draft", "letter", "tariff", "appeal"];

/**
 * Creates the plan of a request.
 * @param random - Used for all choices.
 * @param number - Number of the request.
 */
export function createRequestPlan(random: SeededRandom, number: number): RequestPlan {
    const service = chooseService(random);
    const kind = service === "assistant" || service === "letters" ? "chat" : "document";
    const isKeyed = service === "letters" || service === "receipts";
    const isSentTwice = random.isHit(sentTwiceShare);
    const isRepeated = random.isHit(repeatShare);
    const repeatAfterMilliseconds = random.chooseInteger(50, 3_000);
    const disconnects = random.isHit(disconnectShare);
    const disconnectAfterMilliseconds = random.chooseInteger(1, 150);
    const isSlow = random.isHit(slowReaderShare);
    return {
        number,
        kind,
        service,
        isStreamed: random.isHit(streamedShare),
        prompt: createPrompt(random, number),
        maximumTokens: random.chooseInteger(8, 40),
        idempotencyKey: isKeyed ? createUuid() : undefined,
        isSentTwice: isKeyed && isSentTwice,
        repeatAfterMilliseconds: isKeyed && isRepeated ? repeatAfterMilliseconds : 0,
        disconnectAfterMilliseconds: disconnects ? disconnectAfterMilliseconds : 0,
        readDelayMilliseconds: isSlow ? 20 : 0,
    };
}

function chooseService(random: SeededRandom): string {
    const drawn = random.chooseInteger(0, 999) / 1_000;
    let bound = 0;
    for (const [service, share] of Object.entries(shares)) {
        bound += share;
        if (drawn < bound) {
            return service;
        }
    }
    return "summaries";
}

function createPrompt(random: SeededRandom, number: number): string {
    const chosen: string[] = [];
    for (let count = random.chooseInteger(3, 30); count > 0; count -= 1) {
        chosen.push(random.choose(words)!);
    }
    return `${chosen.join(" ")} ${number}`;
}
