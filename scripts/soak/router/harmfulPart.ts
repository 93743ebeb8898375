import { setTimeout as sleep } from "node:timers/promises";
import type { FaultKind } from "../faultKind.ts";
import { PromptSeries } from "./promptSeries.ts";
import { promptService } from "./promptService.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

const kind = "harmfulPart";
/** Times for which requests of a series are sent: first only sound ones, then sound and harmful ones. */
const soundMilliseconds = 5_000;
const harmfulMilliseconds = 20_000;
const soundIntervalMilliseconds = [0, 200] as const;
const harmfulIntervalMilliseconds = [0, 400] as const;
let lastSeries = 0;

/** Requests with a part of a prompt that crashes each endpoint which begins to answer them, beside sound ones with the other parts. */
export const harmfulPart: FaultKind<RouterSoakContext> = {
    weight: 10,
    durationMilliseconds: [0, 0],
    isInBackground: true,
    prepare: context =>
        context.timeline.isActive(kind)
            ? undefined
            : { target: promptService, inject: () => sendSeries(context), revert: () => undefined },
};

async function sendSeries(context: RouterSoakContext): Promise<void> {
    const { deployment, random } = context;
    lastSeries += 1;
    const series = PromptSeries.create(`part-${lastSeries}`, random);
    const setPart = (part: string | undefined) => {
        for (const endpoint of deployment.endpoints) {
            endpoint.setHarmfulPart(part);
        }
    };
    setPart(series.harmfulPart);
    const sound = send(context, series, false, soundMilliseconds + harmfulMilliseconds);
    await sleep(soundMilliseconds);
    await Promise.all([sound, send(context, series, true, harmfulMilliseconds)]);
    setPart(undefined);
}

/** Sends requests of a series for some time; resolves after the last response. */
async function send(
    { callers, random }: RouterSoakContext,
    series: PromptSeries,
    isHarmful: boolean,
    milliseconds: number,
): Promise<void> {
    const [from, to] = isHarmful ? harmfulIntervalMilliseconds : soundIntervalMilliseconds;
    const sent: Promise<void>[] = [];
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
        sent.push(callers.sendWithPrompt(series.createCall(isHarmful)));
        await sleep(random.chooseInteger(from, to));
    }
    await Promise.all(sent);
}
