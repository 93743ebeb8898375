import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { StartBlock } from "../../admission/start/startBlock.ts";
import { getPauseRetryDelay } from "../../getPauseRetryDelay.ts";
import type { HeldLayers } from "../endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import { getActivationBits } from "../links/getActivationBits.ts";
import { LinkUse } from "../links/linkUse.ts";
import { listDataCentreLinks } from "../links/listDataCentreLinks.ts";
import { listDataCentres } from "../links/listDataCentres.ts";
import type { PossibleRuns } from "../possibleRuns.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { assertValidChain } from "./assertValidChain.ts";
import type { ChainReservation } from "./chainReservation.ts";
import { chooseHealthyStages } from "./chooseHealthyStages.ts";
import { coversAllLayers } from "./coversAllLayers.ts";
import { findFirstIndex } from "./findFirstIndex.ts";
import { getCapacityTokens } from "./getCapacityTokens.ts";
import { getExpectedAnswerTokens } from "./getExpectedAnswerTokens.ts";
import { getRequestMemory } from "./getRequestMemory.ts";
import { listCandidates } from "./listCandidates.ts";
import type { RelayStage } from "./relayStage.ts";
import type { StageQuery } from "./stageQuery.ts";

/** Requirements for a chain. */
interface ChainRequirements {
    /** Ids of endpoints that the chain must not use. */
    avoid: ReadonlySet<string>;
    /** First stage of the chain, if a running request moves. */
    firstStage?: RelayStage;
    /** Whether endpoints without enough free memory for the request may be used. */
    mayOvercommit: boolean;
    /** Whether endpoints may be used that have just refused a request for lack of memory, although they may be overcommitted. Default: true. */
    mayBeFull?: boolean;
    /** Fraction of each endpoint's memory that must stay free for other requests. Default: 0. */
    spareFraction?: number;
    /** Whether suspect endpoints are used if there is no chain without them. Default: true. */
    maySuspect?: boolean;
    /** Ids of endpoints whose rate limits rejected the request. */
    rateLimited?: ReadonlySet<string>;
    /** Whether links between data centres count as free, because only the existence of a chain is checked. */
    ignoresLinks?: boolean;
}

/** Requirements for a chain that the request is sent over, within the endpoints' rate limits. */
interface LimitedChainRequirements extends ChainRequirements {
    /** Ids of endpoints whose rate limits rejected the request. The search adds to it. */
    rateLimited: Set<string>;
}

const bitsPerMegabit = 1_000_000;
/** Maximum number of rate-limited endpoints that are tried for a request. Each one costs the node a further chain search. */
const maximumLimitedEndpointsTried = 3;
/** Above this memory use, a few more requests from each node would fill the endpoint. */
const scarceMemoryFraction = 0.6;

/** Chooses the chains of a request and reserves load on their endpoints. */
export class RelayChains {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly model: EngineModel;
    private readonly runs: Pick<PossibleRuns, "getOnlyAllowedIds">;
    private readonly linkUse: LinkUse;

    private constructor(
        environment: RelayEnvironment,
        task: RelayTask,
        model: EngineModel,
        runs: Pick<PossibleRuns, "getOnlyAllowedIds">,
    ) {
        this.runs = runs;
        this.environment = environment;
        this.task = task;
        this.model = model;
        this.linkUse = LinkUse.create(environment, task, model);
    }

    /**
     * Creates the selection for a request.
     * @param environment - Dependencies of relayed requests.
     * @param task - The request.
     * @param model - Parameters of the requested model.
     * @param runs - The request's runs, which limit the first stages that may receive it.
     */
    static create(
        environment: RelayEnvironment,
        task: RelayTask,
        model: EngineModel,
        runs: Pick<PossibleRuns, "getOnlyAllowedIds">,
    ): RelayChains {
        return new RelayChains(environment, task, model, runs);
    }

    /** Chooses the best chain, or returns undefined if there is none. */
    choose(
        requirements: ChainRequirements,
    ): RelayStage[] | undefined {
        const { environment, model, task } = this;
        const { avoid, firstStage, mayOvercommit, rateLimited } = requirements;
        const { spareFraction = 0, maySuspect = true, mayBeFull = true, ignoresLinks = false } = requirements;
        const now = environment.clock.getMonotonicTime();
        const runningId = firstStage?.endpoint.id;
        const candidates = listCandidates(environment, model, task.service.name)
            .filter(({ endpoint: { id }, isSuspect }) =>
                !avoid.has(id) && rateLimited?.has(id) !== true
                && (maySuspect || !isSuspect)
                && (mayBeFull || id === runningId || !environment.loads.isFull(id, now))
                && (id === runningId || environment.instructions.maySend(id))
            );
        const linkSearch = this.linkUse.startSearch(candidates, this.getPromptTokens(), mayOvercommit, now);
        const onlyAllowedIds = this.runs.getOnlyAllowedIds();
        const query: StageQuery = {
            model,
            promptTokens: this.getPromptTokens(),
            answerTokens: this.getAnswerTokens(),
            dataCentre: environment.dataCentre,
            linkUtilization: this.getLinkUtilization(now),
            firstStage,
            mayBeFirst: id => onlyAllowedIds?.has(id) ?? true,
            mayOvercommit,
            spareFraction,
            isConnected: address => environment.pools.getPool(address).hasIdle(),
            getLinkDelay: (from, to) => environment.linkDelays.getDelay(from, to, now),
            getLinkWait: (from, to) => ignoresLinks ? 0 : linkSearch.getWait(from, to),
        };
        const stages = chooseHealthyStages(query, candidates, environment.random);
        if (stages === undefined && !mayOvercommit) {
            linkSearch.noteFailure();
        }
        return stages;
    }

    /** Checks if only some endpoints may be the first stage, because the request may have run on as many as its route allows. */
    isFirstStageRestricted(): boolean {
        return this.runs.getOnlyAllowedIds() !== undefined;
    }

    /** Gets the link that keeps the request from starting; undefined if none does. */
    getLinkBlock(): StartBlock | undefined {
        return this.linkUse.getBlock(this.getTokens());
    }

    /**
     * Chooses the best chain within the endpoints' rate limits and counts the request against the limit of its first stage, since only
     * the first stage receives the request from this node.
     */
    chooseWithinLimits(requirements: LimitedChainRequirements): RelayStage[] | undefined {
        const { limits, clock } = this.environment;
        const { rateLimited } = requirements;
        let triedCount = 0;
        for (let stages = this.choose(requirements); stages !== undefined; stages = this.choose(requirements)) {
            const { endpoint } = stages[0]!;
            if (limits.take(endpoint, clock.getMonotonicTime())) {
                return stages;
            }
            rateLimited.add(endpoint.id);
            triedCount += 1;
            if (triedCount === maximumLimitedEndpointsTried) {
                this.excludeLimited(rateLimited);
            }
        }
        return undefined;
    }

    /** Returns to the rate limit what {@link chooseWithinLimits} took, if nothing is sent. */
    refundLimit(stages: readonly RelayStage[]): void {
        this.environment.limits.refund(stages[0]!.endpoint.id);
    }

    /**
     * Gets the delay in milliseconds after which the caller should retry, if only rate limits prevent the request from starting.
     * Undefined otherwise.
     */
    getLimitRetryDelay(
        { avoid, rateLimited }: Pick<LimitedChainRequirements, "avoid" | "rateLimited">,
    ): number | undefined {
        const isRateLimited = rateLimited.size > 0
            && this.choose({ avoid, rateLimited, mayOvercommit: true, ignoresLinks: true }) === undefined;
        const { limits, clock } = this.environment;
        return isRateLimited ? limits.bookRetry(rateLimited, clock.getMonotonicTime()) : undefined;
    }

    /**
     * Gets the delay in milliseconds after which the caller should retry, if only the pauses that endpoints have asked for leave no
     * chain. Undefined otherwise.
     */
    getPauseRetryDelay(avoid: ReadonlySet<string>): number | undefined {
        const { directory, instructions, clock, random } = this.environment;
        const ids = directory.getEndpoints(this.task.service.name).map(({ id }) => id);
        const ends = instructions.listPauseEnds(ids);
        const hasChainAt = (at: number | undefined) => at !== undefined && this.coversAllLayers(avoid, at);
        if (!hasChainAt(ends.at(-1))) {
            return undefined;
        }
        const end = ends[findFirstIndex(ends.length, index => hasChainAt(ends[index]))]!;
        return getPauseRetryDelay(end - clock.getMonotonicTime(), random);
    }

    /** Excludes all rate-limited endpoints. */
    private excludeLimited(rateLimited: Set<string>): void {
        const { limits, directory } = this.environment;
        for (const { id } of directory.getEndpoints(this.task.service.name)) {
            if (limits.isLimited(id)) {
                rateLimited.add(id);
            }
        }
    }

    /**
     * Reserves the request's load on the endpoints of a chain until it is released, and counts its traffic between data centres.
     * @throws InvariantError if the chain doesn't run each layer exactly once and in order.
     */
    reserve(stages: readonly RelayStage[]): ChainReservation {
        assertValidChain(stages, this.model.layers);
        const { loads, linkTraffic, clock, queue } = this.environment;
        const tokens = this.getTokens();
        const now = clock.getMonotonicTime();
        const links = listDataCentreLinks(listDataCentres(stages));
        linkTraffic.add(links.length * getActivationBits(this.model, tokens), now);
        const run = this.linkUse.begin(links, this.getPromptTokens(), this.getAnswerTokens(), now);
        if (stages.some(({ endpoint }) => this.getUsedMemoryFraction(endpoint) > scarceMemoryFraction)) {
            queue.noteContention();
        }
        const reservation = loads.reserveStages(stages, tokens, now);
        return {
            links: run,
            release: () => {
                run.end();
                reservation.release();
            },
        };
    }

    /** Gets the number of tokens for which the endpoints have memory, at the layer with the least. */
    getMemoryTokens(): number {
        const { environment, model, task } = this;
        return getCapacityTokens(listCandidates(environment, model, task.service.name), model);
    }

    /** Gets the number of tokens of requests that the endpoints can run on time, by memory and by the time between events. */
    getTimelyTokens(): number {
        const { environment, model, task } = this;
        const candidates = listCandidates(environment, model, task.service.name);
        return getCapacityTokens(candidates, model, task.route.maximumEventGapMilliseconds);
    }

    /** Gets the expected number of tokens of the prompt and the answer. */
    getTokens(): number {
        return this.getPromptTokens() + this.getAnswerTokens();
    }

    /**
     * Checks if an idle system would have a chain for the request. Also true while no endpoint is known, since their list may not have
     * arrived yet.
     * @param avoid - Ids of endpoints that don't count.
     * @param at - Monotonic time in milliseconds: pauses of endpoints that have ended by then don't count. Default: now.
     */
    hasChain(avoid: ReadonlySet<string>, at?: number): boolean {
        const { directory } = this.environment;
        return directory.getEndpoints(this.task.service.name).length === 0 || this.coversAllLayers(avoid, at);
    }

    /**
     * Checks if the endpoints that take requests together hold the whole model.
     * @param avoid - Ids of endpoints that don't count.
     * @param at - Monotonic time in milliseconds: pauses of endpoints that have ended by then don't count. Default: now.
     */
    private coversAllLayers(avoid: ReadonlySet<string>, at?: number): boolean {
        const { directory, instructions } = this.environment;
        const onlyAllowedIds = this.runs.getOnlyAllowedIds();
        let hasFirst = false;
        const ranges: HeldLayers[] = [];
        for (const { id, kind, layers } of directory.getEndpoints(this.task.service.name)) {
            const isCandidate = layers !== undefined && this.model.kinds.has(kind ?? "") && !avoid.has(id);
            if (isCandidate && instructions.maySend(id, at)) {
                ranges.push(layers);
                hasFirst ||= layers.start === 0 && (onlyAllowedIds?.has(id) ?? true);
            }
        }
        return hasFirst && coversAllLayers(ranges, this.model.layers);
    }

    /**
     * Checks if an endpoint to which the request may return is not listed now. Its record may only have lapsed, and come back.
     * @param avoid - Ids of endpoints that have failed the request.
     */
    hasUnlistedEndpoint(avoid: ReadonlySet<string>): boolean {
        const listed = new Set(this.environment.directory.getEndpoints(this.task.service.name).map(({ id }) => id));
        return [...this.runs.getOnlyAllowedIds() ?? []].some(id => !listed.has(id) && !avoid.has(id));
    }

    /** Gets the known used fraction of an endpoint's memory; 0 for an endpoint without layers. */
    getUsedMemoryFraction({ id, kind: kindName, layers }: RegisteredEndpoint): number {
        const { loads, directory } = this.environment;
        const kind = this.model.kinds.get(kindName ?? "");
        if (kind === undefined || layers === undefined) {
            return 0;
        }
        const used = loads.getExpectedLoad(id).tokenLayers + directory.getHiddenTokenLayers(id);
        return used / Math.max(1, getRequestMemory(this.model, kind, layers.end - layers.start));
    }

    /** Estimates the utilization of the links between data centres from this node's traffic, since callers are spread over the nodes. */
    private getLinkUtilization(now: number): number {
        const { linkTraffic, getNodeCount } = this.environment;
        return linkTraffic.getRate(now) * getNodeCount() / (this.model.linkMegabitsPerSecond * bitsPerMegabit);
    }

    private getPromptTokens(): number {
        return this.task.request.promptTokens || this.model.typicalPromptTokens;
    }

    private getAnswerTokens(): number {
        return getExpectedAnswerTokens(this.model, this.task.request);
    }
}
