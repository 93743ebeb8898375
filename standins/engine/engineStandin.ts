import type { z } from "zod";
import type { EngineStatus, PassBatch, PassResult } from "../../src/connection/endpoint/engineProtocol.ts";
import type { Clock } from "../../src/process/clock.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { CacheEventLog } from "./cacheEventLog.ts";
import { CacheTransfer } from "./cacheTransfer.ts";
import { EngineFaults } from "./engineFaults.ts";
import { createEngineRoutes } from "./engineRoutes.ts";
import { engineStandinDefaults } from "./engineStandinDefaults.ts";
import type { EngineStandinOptions } from "./engineStandinOptions.ts";
import { ExecutionRecord } from "./executionRecord.ts";
import { HeldLayers } from "./heldLayers.ts";
import type { StandinExchange } from "./http/standinExchange.ts";
import { StandinServer } from "./http/standinServer.ts";
import type { messageSchemas } from "./messageSchemas.ts";
import { PeriodicSample } from "./periodicSample.ts";
import { PrefixCache } from "./prefixCache.ts";
import { SequenceStore } from "./sequence/sequenceStore.ts";
import { PassRunner } from "./step/passRunner.ts";
import { StepLoop } from "./step/stepLoop.ts";
import { WeightOrders } from "./weightOrders.ts";

type RequiredOptions = Pick<EngineStandinOptions, "name" | "layers" | "modelLayers">;

/** Load values of the status, which are sampled at intervals. */
type EngineLoad = Pick<EngineStatus, "queue" | "sequences" | "freePositions">;

/** Stand-in for a model engine, which implements the engine protocol on 127.0.0.1. */
export class EngineStandin {
    /** Record of the executed passes. */
    readonly record: ExecutionRecord;
    readonly sequences: SequenceStore;
    readonly orders: WeightOrders;
    readonly cacheEvents: CacheEventLog;
    readonly cacheTransfer: CacheTransfer;
    private readonly options: EngineStandinOptions;
    private readonly faults = EngineFaults.create();
    private readonly heldLayers: HeldLayers;
    private readonly stepLoop: StepLoop;
    private readonly loadSample: PeriodicSample<EngineLoad>;
    private readonly server: StandinServer;
    /** Memory capacity, in positions of one layer. */
    private readonly memoryLayerPositions: number;

    private constructor(options: EngineStandinOptions, clock: Clock) {
        const { modelLayers, checksFencing, weightLoadMilliseconds, maximumSequences } = options;
        this.options = options;
        this.record = ExecutionRecord.create(options.recordedRequests);
        const heldLayers = this.heldLayers = HeldLayers.create(options.layers);
        this.memoryLayerPositions = options.memoryPositions
            * (heldLayers.getCount() || Math.max(...Object.values(modelLayers)));
        const sequences = this.sequences = SequenceStore.create({
            clock,
            modelLayers,
            maximumSequences,
            layerPositions: this.memoryLayerPositions,
            idleMilliseconds: options.sequenceIdleMilliseconds,
        });
        this.orders = WeightOrders.create({ clock, heldLayers, modelLayers, checksFencing, weightLoadMilliseconds });
        this.cacheEvents = CacheEventLog.create({
            clock,
            delayMilliseconds: options.cacheEventDelayMilliseconds,
            gapEvery: options.cacheEventGapEvery,
            seed: options.seed,
        });
        const { record, faults } = this;
        this.cacheTransfer = CacheTransfer.create({
            modelLayers,
            heldLayers,
            sequences,
            isLeaving: () => faults.leaving,
        });
        const prefixCache = PrefixCache.create(options.prefixCacheBlocks, this.cacheEvents);
        const runner = PassRunner.create({ modelLayers, heldLayers, sequences, prefixCache, record, faults });
        this.stepLoop = StepLoop.create({ clock, engine: options, runner, record, faults });
        this.loadSample = PeriodicSample.create({
            clock,
            intervalMilliseconds: options.loadLagMilliseconds,
            read: () => this.readLoad(),
        });
        this.server = StandinServer.create({
            port: options.port,
            hopDelayMilliseconds: options.hopDelayMilliseconds,
            handle: createEngineRoutes(this),
        });
    }

    /**
     * Creates an engine. Call `listen` to start it.
     * @param options - Required options, and overrides of the defaults.
     */
    static create(options: RequiredOptions & Partial<EngineStandinOptions>, clock: Clock = systemClock): EngineStandin {
        // Without a prototype, so that a model name in a message, such as "toString", never matches an inherited property.
        const modelLayers: Record<string, number> = Object.assign(Object.create(null), options.modelLayers);
        return new EngineStandin({ ...engineStandinDefaults, ...options, modelLayers }, clock);
    }

    /** Starts listening. */
    listen(): Promise<void> {
        return this.server.listen();
    }

    /** Stops the engine and closes all its connections. */
    close(): Promise<void> {
        this.stepLoop.close();
        this.loadSample.close();
        this.orders.close();
        return this.server.close();
    }

    /** Gets the host:port that the engine listens on. */
    getAddress(): string {
        return this.server.getAddress();
    }

    /** Adds the passes of a batch and streams each result on the batch's response when the pass completes. */
    addBatch(batch: PassBatch, exchange: StandinExchange): void {
        const isReset = this.faults.consumeReset();
        let remaining = batch.passes.length;
        exchange.startLines();
        const sendResult = (result: PassResult) => {
            remaining--;
            if (isReset) {
                exchange.sendPartialLine(result);
                return;
            }
            exchange.sendLine(result);
            if (remaining === 0) {
                exchange.endLines();
            }
        };
        if (remaining === 0) {
            exchange.endLines();
        }
        for (const pass of batch.passes) {
            this.stepLoop.addPass(pass, sendResult);
        }
    }

    /** Gets the status. Its load values may be out of date by up to `loadLagMilliseconds`. */
    getStatus(): EngineStatus {
        const { value, ageMilliseconds } = this.loadSample.get();
        return {
            endpoint: this.options.name,
            leaving: this.faults.leaving,
            layers: this.heldLayers.getRanges(),
            ...value,
            fencingNumber: this.orders.getFencingNumber(),
            loadAgeMilliseconds: ageMilliseconds,
            cacheSequence: this.cacheEvents.getLastSequenceNumber(),
        };
    }

    /** Sets the faults given by a test; the others keep their values. */
    setFaults(change: z.infer<typeof messageSchemas.faults>): void {
        this.faults.apply(change);
        if (change.freezeExistingConnections) {
            this.server.gate.silenceOpenConnections();
        }
        if (change.freeze !== undefined) {
            this.server.gate.setFrozen(change.freeze);
            this.stepLoop.resume();
        }
    }

    private readLoad(): EngineLoad {
        const heldLayers = Math.max(1, this.heldLayers.getCount());
        return {
            queue: this.stepLoop.getQueueLength(),
            sequences: this.sequences.getCount(),
            freePositions: Math.floor(this.sequences.getFreeLayerPositions() / heldLayers),
        };
    }
}
