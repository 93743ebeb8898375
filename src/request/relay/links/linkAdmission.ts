import type { EventLog } from "../../../process/logging/eventLog.ts";
import type { RandomSource } from "../../../process/randomSource.ts";
import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { canBeOnTime } from "./canBeOnTime.ts";
import { createLinkCrossing } from "./createLinkCrossing.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getActivationBits } from "./getActivationBits.ts";
import { getContendedQueueTime } from "./getContendedQueueTime.ts";
import { getTransferTime } from "./getTransferTime.ts";
import type { LinkCrossing } from "./linkCrossing.ts";
import type { LinkCrossingQuery } from "./linkCrossingQuery.ts";
import type { LinkDelays } from "./linkDelays.ts";
import { LinkPacer } from "./linkPacer.ts";
import { LinkQueueTimes } from "./linkQueueTimes.ts";
import type { LinkReport } from "./linkReport.ts";
import { LinkRetries } from "./linkRetries.ts";
import { LinkShares } from "./linkShares.ts";
import type { LinkState } from "./linkState.ts";
import { LinkStates } from "./linkStates.ts";

/** Options of {@link LinkAdmission}. */
interface LinkAdmissionOptions {
    random: RandomSource;
    log: EventLog;
    /** Recently observed delays of first events over the links. */
    delays: LinkDelays;
    /** Gets the tokens per second of new requests that arrive at this node. */
    getDemand(): number;
    /** Gets the number of live nodes, including this one. */
    getNodeCount(): number;
    /** Called when a link is closed or open again. */
    onClosed?(link: DataCentreLink, isClosed: boolean): void;
}

type LinkOfModel = Pick<LinkCrossingQuery, "from" | "to" | "model">;

/** Maximum number of times that a stream is sent over the same link. */
const maximumBegins = 2;
/**
 * Time that a late request leaves a node's share free for requests that can be on time, as a fraction of what a typical request occupies.
 * Late requests would otherwise take the share whenever no other request waits, and the next one that arrives would become late too.
 */
const reservedFractionForTimely = 0.5;
/** Size of the prompts that peers' streams are expected to have at most, as a multiple of a typical one. */
const largePromptFactor = 2;
const minimumWaitMilliseconds = 1;
/** Maximum number of links in a report. */
const maximumReportedLinks = 12;
/** Time after which a link that is no longer contended counts as unused. */
const contentionMilliseconds = 3_000;

/**
 * Decides which streams may use the links between data centres, at which all chains of all nodes share the bandwidth.
 *
 * It is designed for the seconds after a loss in which no data centre is complete: every request needs a link, several times as
 * many as the links carry. Each node then takes its share of the demand from the first moment, and only streams that can still be on
 * time are begun. The load of this kind is replayed in `linkAdmission.test.ts`.
 *
 * Deterministic: depends only on its state and arguments. Times are monotonic, in milliseconds.
 */
export class LinkAdmission {
    private readonly options: LinkAdmissionOptions;
    private readonly shares: LinkShares;
    private readonly pacer: LinkPacer;
    private readonly queueTimes: LinkQueueTimes;
    /** Which links keep requests from starting, and the retries that are booked on them. */
    readonly retries = LinkRetries.create();
    private readonly states: LinkStates;

    private constructor(options: LinkAdmissionOptions) {
        this.options = options;
        this.states = LinkStates.create(options);
        this.shares = LinkShares.create(options);
        this.queueTimes = LinkQueueTimes.create(options.delays);
        this.pacer = LinkPacer.create((from, to, now) => this.shares.getShare(from, to, now));
    }

    /** Creates the decisions of a node that has not used any link. */
    static create(options: LinkAdmissionOptions): LinkAdmission {
        return new LinkAdmission(options);
    }

    /**
     * Gets how long a stream must wait before it may be sent over a link, in milliseconds: 0 if it may be sent now, Infinity if
     * it must not be sent over the link any more.
     */
    getWait(query: LinkCrossingQuery, now: number): number {
        const { from, to, isRunning, isReturn, beginCount, elapsedMilliseconds, waitLimitMilliseconds } = query;
        const state = this.states.get(from, to);
        const gateState = state.gate.getState(now, this.getPeerFirstEvent(query, now));
        if (beginCount >= maximumBegins || beginCount > 0 && gateState !== "open") {
            return Infinity;
        }
        const transfer = getTransferTime(query.model, query.promptTokens);
        const slack = query.objectiveMilliseconds - elapsedMilliseconds - transfer
            - this.options.delays.getUsualFirstEvent();
        const couldBeOnTime = !isReturn && slack >= 0;
        if (gateState === "closed" || gateState === "trial" && state.gate.getWaitingCount() > 0) {
            return isRunning ? Infinity : this.getClosedWait(query, couldBeOnTime ? slack : Infinity, now);
        }
        const demandRatio = this.shares.getDemandRatio(query, query.model, now);
        const isScarce = demandRatio > 1;
        if (isScarce && query.isOnlyChoice && !isRunning) {
            this.spreadStart(state, query, 1 - 1 / demandRatio, now);
        }
        const queueTime = this.getQueueTime(query, now);
        if (elapsedMilliseconds + transfer + queueTime > waitLimitMilliseconds) {
            return Infinity;
        }
        if (isRunning) {
            return this.pacer.getWait(from, to, now);
        }
        const mayBeOnTime = !isScarce || canBeOnTime(query, this.options.delays.getUsualFirstEvent());
        if (mayBeOnTime && couldBeOnTime && queueTime > slack) {
            const excess = queueTime - slack;
            return isScarce ? excess : getSpareWait(Math.min(excess, slack), query.onTimeWaitMilliseconds);
        }
        if (!isScarce) {
            return 0;
        }
        if (!query.isOnlyChoice) {
            return this.pacer.getWait(from, to, now);
        }
        // A late stream must not prolong a queue in which even a new request would become late.
        const lateExcess = queueTime - Math.max(0, slack + elapsedMilliseconds);
        if (mayBeOnTime && !couldBeOnTime && lateExcess > 0) {
            return lateExcess;
        }
        const reserved = couldBeOnTime ? 0 : reservedFractionForTimely * this.getTypicalOccupancy(query, now);
        return this.pacer.getIdleWait(from, to, now - reserved);
    }

    /**
     * Gets how long a stream should wait for a closed link: until the caller of the oldest stream leaves, or for as long as the
     * stream can be on time, since the link may open before.
     */
    private getClosedWait(query: LinkCrossingQuery, slack: number, now: number): number {
        const { gate } = this.states.get(query.from, query.to);
        const waited = gate.getClosingWait(now, this.getPeerFirstEvent(query, now));
        return Math.max(minimumWaitMilliseconds, Math.min(query.waitLimitMilliseconds - waited, slack));
    }

    /** Gets the time for which a prompt is expected to queue at a link, in milliseconds. */
    private getQueueTime({ from, to, model }: LinkOfModel, now: number): number {
        const contendedTime = isContended(this.states.get(from, to), now) ? getContendedQueueTime(model) : 0;
        return Math.max(this.queueTimes.get(from, to, model, now), contendedTime);
    }

    /** Gets the expected time to the first event of other nodes' streams, whose prompts may be large. */
    private getPeerFirstEvent(query: LinkCrossingQuery, now: number): number {
        return this.options.delays.getUsualFirstEvent() + this.getQueueTime(query, now)
            + getTransferTime(query.model, largePromptFactor * query.model.typicalPromptTokens);
    }

    /**
     * Begins to divide a link among the nodes. Their first requests are spread over the time that each of them occupies its share, or
     * over less if the link bears most requests.
     */
    private spreadStart(state: LinkState, query: LinkCrossingQuery, excessFraction: number, now: number): void {
        if (!isContended(state, now)) {
            const fraction = excessFraction * this.options.random();
            const milliseconds = fraction * this.getTypicalOccupancy(query, now);
            this.pacer.delayStart(query.from, query.to, milliseconds, now);
        }
        state.contendedAt = now;
        this.shares.noteContention(formatDataCentreLink(query.from, query.to), now);
    }

    private getTypicalOccupancy({ from, to, model }: LinkOfModel, now: number): number {
        const tokens = model.typicalPromptTokens + model.typicalAnswerTokens;
        return this.pacer.getOccupancy(from, to, model, tokens, now);
    }

    /**
     * Books capacity of a link for the retry of a refused request.
     * @returns The retry delay in milliseconds.
     */
    bookRetry(link: DataCentreLink, model: EngineModel, tokens: number, waitMilliseconds: number, now: number): number {
        const occupancy = this.pacer.getOccupancy(link.from, link.to, model, tokens, now);
        return this.retries.book(link, waitMilliseconds, occupancy, now);
    }

    /** Records that a request needs a link, whether it may use it or not. */
    noteNeed({ from, to }: DataCentreLink, now: number): void {
        this.states.get(from, to);
        this.shares.noteNeed(formatDataCentreLink(from, to), now);
    }

    /**
     * Counts a stream that is sent over links, and observes when its first event arrives.
     * @param links - Links of its chain, in order.
     * @param model - Parameters of the model.
     * @param promptTokens - Tokens of the prompt, or of the context that is moved.
     * @param answerTokens - Expected tokens of the answer.
     * @param now - Monotonic time in milliseconds.
     */
    begin(
        links: readonly DataCentreLink[],
        model: EngineModel,
        promptTokens: number,
        answerTokens: number,
        now: number,
    ): LinkCrossing {
        const transfer = getTransferTime(model, promptTokens);
        const expected = links.reduce(
            (sum, { from, to }) => sum + transfer + this.getQueueTime({ from, to, model }, now),
            this.options.delays.getUsualFirstEvent(),
        );
        const streams = links.map(link => {
            const { from, to } = link;
            const state = this.states.get(from, to);
            const { gate, traffic } = state;
            this.noteNeed(link, now);
            const credit = isContended(state, now) ? this.getTypicalOccupancy({ from, to, model }, now) : 0;
            this.pacer.reserve(from, to, model, promptTokens + answerTokens, now, credit);
            traffic.add(getActivationBits(model, promptTokens + answerTokens), now);
            return { gate, stream: gate.add(expected, now) };
        });
        return createLinkCrossing(streams, at => this.queueTimes.record(links, at - now, transfer, at));
    }

    /** Creates this node's reports for its peers. */
    createReports(now: number): LinkReport[] {
        const reports: LinkReport[] = [];
        for (const key of this.shares.listNeeded(now).slice(0, maximumReportedLinks)) {
            const { link, traffic, gate } = this.states.getByKey(key);
            reports.push({
                ...link,
                bitsPerSecond: traffic.getRate(now),
                waiting: gate.getWaitingCount(),
                longestWaitMilliseconds: gate.getLongestWait(now),
            });
        }
        return reports;
    }

    /**
     * Applies a peer's reports, which replace its earlier ones.
     * @param peerId - The peer.
     * @param demand - Tokens per second of new requests that arrive at the peer.
     * @param reports - Its reports.
     * @param now - Monotonic time in milliseconds.
     */
    applyReports(peerId: string, demand: number, reports: readonly LinkReport[], now: number): void {
        this.shares.applyPeer(peerId, demand, reports.map(({ from, to }) => formatDataCentreLink(from, to)), now);
        for (const { gate } of this.states.list()) {
            gate.applyReport(peerId, 0, 0, now);
        }
        for (const { from, to, waiting, longestWaitMilliseconds } of reports) {
            this.states.get(from, to).gate.applyReport(peerId, waiting, longestWaitMilliseconds, now);
        }
    }

    /** Lists the links that this node or a peer has needed since the start, with this node's traffic. */
    listStatus(now: number) {
        return this.states.list().map(({ link, gate, traffic }) => ({
            ...link,
            bitsPerSecond: Math.round(traffic.getRate(now)),
            waiting: gate.getWaitingCount(),
            ...gate.getStatus(now),
        }));
    }
}

/**
 * Limits the wait for a link with spare bandwidth to the time for which the queue keeps the request, so that the request is served late
 * rather than refused.
 */
function getSpareWait(milliseconds: number, onTimeWaitMilliseconds: number): number {
    const limited = Math.min(milliseconds, onTimeWaitMilliseconds - minimumWaitMilliseconds);
    return limited < minimumWaitMilliseconds ? 0 : limited;
}

function isContended({ contendedAt }: LinkState, now: number): boolean {
    return now - contendedAt <= contentionMilliseconds;
}
