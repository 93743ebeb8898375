import type { EngineModel } from "../../version/routing/engineModel.ts";
import { assertTiling } from "./assertTiling.ts";
import { chooseSoundStages } from "./chooseSoundStages.ts";
import { getCrossingBits } from "./getCrossingBits.ts";
import { getRequestMemory } from "./getRequestMemory.ts";
import { listCandidates } from "./listCandidates.ts";
import { listCrossings } from "./listCrossings.ts";
import { listDataCentres } from "./listDataCentres.ts";
import type { LoadReservation } from "./loadReservation.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayStage } from "./relayStage.ts";
import type { RelayTask } from "./relayTask.ts";
import type { StageQuery } from "./stageQuery.ts";

/** What a chain must be like. */
interface ChainWish {
    /** Ids of endpoints that it does without. */
    avoid: ReadonlySet<string>;
    /** First stage that it begins with, where a running request moves. */
    firstStage?: RelayStage;
    /** Whether endpoints without room for the request may be part of it. */
    mayOverfill: boolean;
    /** Part of each endpoint's memory that must stay free for others. Default: 0. */
    sparePart?: number;
    /** Ids of endpoints whose limits have left the request no place. */
    closed?: ReadonlySet<string>;
}

/** What a chain must be like for a request that is to be sent over it. */
interface OpenChainWish extends ChainWish {
    /** Ids of endpoints whose limits have left the request no place; grows. */
    closed: Set<string>;
}

const bitsOfMegabit = 1_000_000;
/** A request asks at so many limited endpoints at most; where all are limited, to ask at each would cost the node a search each. */
const mostLimitsAsked = 3;
/** Above this part of an endpoint's memory, a few requests more of each node would fill it. */
const scarceMemoryPart = 0.6;

/** Chooses the chains of one request, and counts it at their endpoints. */
export class RelayChains {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private readonly model: EngineModel;

    private constructor(environment: RelayEnvironment, task: RelayTask, model: EngineModel) {
        this.environment = environment;
        this.task = task;
        this.model = model;
    }

    /** Creates the choice for a request. */
    static create(environment: RelayEnvironment, task: RelayTask, model: EngineModel): RelayChains {
        return new RelayChains(environment, task, model);
    }

    /** Chooses the best chain; undefined where there is none. */
    choose({ avoid, firstStage, mayOverfill, sparePart = 0, closed }: ChainWish): RelayStage[] | undefined {
        const { environment, model, task } = this;
        const now = environment.clock.getMonotonicTime();
        const query: StageQuery = {
            model,
            promptTokens: this.getPromptTokens(),
            answerTokens: this.getAnswerTokens(),
            dataCentre: environment.dataCentre,
            pipeUse: this.getPipeUse(now),
            firstStage,
            mayOverfill,
            sparePart,
            isConnected: address => environment.pools.getPool(address).hasIdle(),
            getCrossingDelay: (from, to) => environment.crossings.getExtra(from, to, now),
            getPipeWait: (from, to) => environment.pipeShares.getWait(from, to, now),
        };
        const candidates = listCandidates(environment, model, task.service.name)
            .filter(({ endpoint: { id } }) => !avoid.has(id) && closed?.has(id) !== true);
        return chooseSoundStages(query, candidates, environment.random);
    }

    /**
     * Chooses the best chain for the request to be sent over, and takes it out of the first stage's limit: that stage alone gets a
     * request from this node.
     */
    chooseOpen(wish: OpenChainWish): RelayStage[] | undefined {
        const { limits, clock } = this.environment;
        const { closed } = wish;
        let asked = 0;
        for (let stages = this.choose(wish); stages !== undefined; stages = this.choose(wish)) {
            const { endpoint } = stages[0]!;
            if (limits.take(endpoint, clock.getMonotonicTime())) {
                return stages;
            }
            closed.add(endpoint.id);
            asked += 1;
            if (asked === mostLimitsAsked) {
                this.closeLimited(closed);
            }
        }
        return undefined;
    }

    /** Gives back what {@link chooseOpen} took, where nothing is sent. */
    giveBack(stages: readonly RelayStage[]): void {
        this.environment.limits.giveBack(stages[0]!.endpoint.id);
    }

    /** Gets when the caller should come back where only the limits of endpoints hold the request up; undefined otherwise. */
    getLimitReturn({ avoid, closed }: Pick<OpenChainWish, "avoid" | "closed">): number | undefined {
        const isHeldUp = closed.size > 0 && this.choose({ avoid, closed, mayOverfill: true }) === undefined;
        const { limits, clock } = this.environment;
        return isHeldUp ? limits.bookReturn(closed, clock.getMonotonicTime()) : undefined;
    }

    private closeLimited(closed: Set<string>): void {
        const { limits, directory } = this.environment;
        for (const { id } of directory.getEndpoints(this.task.service.name)) {
            if (limits.isLimited(id)) {
                closed.add(id);
            }
        }
    }

    /**
     * Counts the request at the endpoints of a chain, until it is released, and what it moves between data centres.
     * @throws InvariantError where the chain doesn't run each layer once and in order.
     */
    reserve(stages: readonly RelayStage[]): LoadReservation {
        assertTiling(stages, this.model.layers);
        const { loads, pipeLoad, pipeShares, clock, queue } = this.environment;
        const tokens = this.getTokens();
        const now = clock.getMonotonicTime();
        const crossings = listCrossings(listDataCentres(stages));
        pipeLoad.add(crossings.length * getCrossingBits(this.model, tokens), now);
        for (const { from, to } of crossings) {
            pipeShares.take(from, to, this.model, tokens, now);
        }
        if (stages.some(({ endpoint }) => this.getMemoryPart(endpoint) > scarceMemoryPart)) {
            queue.noteContention();
        }
        return loads.reserveStages(stages, tokens, now);
    }

    /** Gets the tokens that the request is expected to have at its end. */
    getTokens(): number {
        return this.getPromptTokens() + this.getAnswerTokens();
    }

    /** Whether there is a chain for the request, if nothing else ran. As long as no endpoint is known, the list is still to come. */
    hasChain(avoid: ReadonlySet<string>): boolean {
        const { directory } = this.environment;
        return directory.getEndpoints(this.task.service.name).length === 0
            || this.choose({ avoid, mayOverfill: true }) !== undefined;
    }

    /** Gets the part of an endpoint's memory that is taken, as far as is known; 0 for one without layers. */
    getMemoryPart({ id, kind: kindName, layers }: RegisteredEndpoint): number {
        const { loads, directory } = this.environment;
        const kind = this.model.kinds.get(kindName ?? "");
        if (kind === undefined || layers === undefined) {
            return 0;
        }
        const taken = loads.getLoad(id).tokenLayers + directory.getHiddenTokenLayers(id);
        return taken / Math.max(1, getRequestMemory(this.model, kind, layers.end - layers.start));
    }

    /** Estimates the use of the pipes from this node's part, since callers are spread over the nodes. */
    private getPipeUse(now: number): number {
        const { pipeLoad, getNodeCount } = this.environment;
        return pipeLoad.getRate(now) * getNodeCount() / (this.model.pipeMegabits * bitsOfMegabit);
    }

    private getPromptTokens(): number {
        return this.task.request.promptTokens || this.model.usualPromptTokens;
    }

    /** Expects what the caller estimates, or the usual length, within the most that it asks for. */
    private getAnswerTokens(): number {
        const { expectedAnswerTokens, maximumAnswerTokens } = this.task.request;
        return Math.min(expectedAnswerTokens || this.model.usualAnswerTokens, maximumAnswerTokens || Infinity);
    }
}
