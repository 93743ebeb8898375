import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { StartBlock } from "../../admission/start/startBlock.ts";
import { coversAllLayers } from "../chains/coversAllLayers.ts";
import type { StageCandidate } from "../chains/stageCandidate.ts";
import { getLatestOnTimeStart } from "../queue/getLatestOnTimeStart.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getWaitLimit } from "./getWaitLimit.ts";
import type { LinkRun } from "./linkRun.ts";

/** The links that one search for a chain considers. */
interface LinkSearch {
    /** Gets how long the request must wait before it uses a link, in milliseconds; Infinity if it must not use it. */
    getWait(from: string, to: string): number;
    /** Records that the search has found no chain. */
    noteFailure(): void;
}

/** One request's use of the links between data centres. */
export class LinkUse {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly model: EngineModel;
    /** Number of times that the request was sent over each link. */
    private readonly beginCounts = new Map<string, number>();
    private lastEventAt: number | undefined;

    private constructor(environment: RelayEnvironment, task: RelayTask, model: EngineModel) {
        this.environment = environment;
        this.task = task;
        this.model = model;
    }

    /** Creates the use of a request that was not sent yet. */
    static create(environment: RelayEnvironment, task: RelayTask, model: EngineModel): LinkUse {
        return new LinkUse(environment, task, model);
    }

    /**
     * Starts the search for a chain. Decides on each link once, when the search first considers it.
     * @param candidates - Endpoints that the chain may use.
     * @param promptTokens - Tokens of the prompt.
     * @param isRunning - Whether the stream has begun and can't wait.
     * @param now - Monotonic time in milliseconds.
     */
    startSearch(
        candidates: readonly StageCandidate[],
        promptTokens: number,
        isRunning: boolean,
        now: number,
    ): LinkSearch {
        const { environment, task, model } = this;
        const { links } = environment;
        const { request, route } = task;
        const waits = new Map<string, DataCentreLink & { wait: number; }>();
        let isOnlyChoice: boolean | undefined;
        const getWait = (from: string, to: string): number => {
            const key = formatDataCentreLink(from, to);
            const known = waits.get(key);
            if (known !== undefined) {
                return known.wait;
            }
            isOnlyChoice ??= !hasCompleteDataCentre(candidates, model.layers);
            const wait = links.getWait({
                from,
                to,
                model,
                promptTokens,
                elapsedMilliseconds: now - (isRunning ? this.lastEventAt ?? request.arrivedAt : request.arrivedAt),
                objectiveMilliseconds: route.targetLatencyMilliseconds,
                onTimeWaitMilliseconds: getLatestOnTimeStart(environment, task) - now,
                waitLimitMilliseconds: getWaitLimit(route),
                isReturn: task.isReturn,
                isRunning,
                beginCount: this.beginCounts.get(key) ?? 0,
                isOnlyChoice,
            }, now);
            waits.set(key, { from, to, wait });
            return wait;
        };
        const noteFailure = () => {
            const blocked = [...waits.values()].filter(({ wait }) => wait > 0);
            for (const link of blocked) {
                links.noteNeed(link, now);
            }
            const [first] = blocked.toSorted((left, right) => left.wait - right.wait);
            links.retries.noteBlock(task.service.name, isOnlyChoice === true ? first : undefined, now);
        };
        return { getWait, noteFailure };
    }

    /** Gets the link that kept the last search of the service from finding a chain; undefined if none did. */
    getBlock(tokens: number): StartBlock | undefined {
        const { environment: { links, clock }, task, model } = this;
        const now = clock.getMonotonicTime();
        const block = links.retries.getBlock(task.service.name, now);
        if (block === undefined) {
            return undefined;
        }
        const waitMilliseconds = Math.min(block.wait, getWaitLimit(task.route));
        return {
            waitMilliseconds,
            bookRetry: () => links.bookRetry(block, model, tokens, waitMilliseconds, now),
        };
    }

    /** Counts that the request is sent over links. */
    begin(links: readonly DataCentreLink[], promptTokens: number, answerTokens: number, now: number): LinkRun {
        const keys = listKeys(links);
        for (const key of keys) {
            this.beginCounts.set(key, (this.beginCounts.get(key) ?? 0) + 1);
        }
        const { environment, model } = this;
        const crossing = links.length === 0
            ? undefined
            : environment.links.begin(links, model, promptTokens, answerTokens, now);
        return {
            noteEvent: now => {
                this.lastEventAt = now;
                crossing?.noteEvent(now);
            },
            noteOtherCause: () => crossing?.noteOtherCause(),
            isQueued: () => crossing?.isQueued() === true,
            end: () => crossing?.end(environment.clock.getMonotonicTime()),
            refund: () => this.refund(keys),
        };
    }

    private refund(keys: ReadonlySet<string>): void {
        for (const key of keys) {
            this.beginCounts.set(key, (this.beginCounts.get(key) ?? 1) - 1);
        }
    }
}

function listKeys(links: readonly DataCentreLink[]): Set<string> {
    return new Set(links.map(({ from, to }) => formatDataCentreLink(from, to)));
}

/** Checks if the endpoints of one data centre together hold every layer. */
function hasCompleteDataCentre(candidates: readonly StageCandidate[], layers: number): boolean {
    const byDataCentre = Map.groupBy(candidates, ({ endpoint }) => endpoint.dataCentre);
    return [...byDataCentre.values()].some(local => coversAllLayers(local.map(candidate => candidate.layers), layers));
}
