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
}

const bitsOfMegabit = 1_000_000;
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
    choose({ avoid, firstStage, mayOverfill, sparePart = 0 }: ChainWish): RelayStage[] | undefined {
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
            .filter(({ endpoint }) => !avoid.has(endpoint.id));
        return chooseSoundStages(query, candidates, environment.random);
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
