import { EndpointInstructions } from "../../connection/instructions/endpointInstructions.ts";
import { EndpointEnds } from "../../request/relay/endpoints/endpointEnds.ts";
import { EndpointHealth } from "../../request/relay/endpoints/endpointHealth.ts";
import { EndpointLoads } from "../../request/relay/endpoints/endpointLoads.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import { EndpointLimits } from "../../request/relay/limits/endpointLimits.ts";
import type { RelayQueue } from "../../request/relay/queue/relayQueue.ts";
import type { TimerHandle } from "../clock.ts";
import { EndpointLinks } from "./endpointLinks.ts";
import { EndpointLosses } from "./endpointLosses.ts";
import { EndpointReadings } from "./endpointReadings.ts";
import { EndpointRegistry } from "./endpointRegistry.ts";
import type { LiveNodes } from "./liveNodes.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";

/** Options of {@link RouterEndpoints}. */
interface RouterEndpointsOptions {
    node: RouterNodeOptions;
    liveNodes: LiveNodes;
    /** The requests that wait for endpoints. */
    queue: Pick<RelayQueue, "wake" | "refuseUnservable" | "noteCapacityChange">;
    /** Gets the services of the configuration in force, by name; undefined if there is none yet. */
    getServices(): ReadonlyMap<string, unknown> | undefined;
    /** Gets the monotonic time in milliseconds of the last known store failure. */
    getLastStoreFailure(): number;
    /** Informs the peers at once. */
    propagateUpdate(): void;
    /** Called when the placement may have work. */
    wakePlacement(): void;
    /** Called with the previous state of an endpoint that has restarted under the same id. */
    onRestart(earlier: RegisteredEndpoint): void;
    /**
     * Called when an endpoint that accepted requests is proven to be down.
     * @param endpointId - Id of the endpoint.
     * @param now - Monotonic time in milliseconds.
     */
    onDown(endpointId: string, now: number): void;
}

/**
 * The endpoints, the connections to them, and what this node knows of their state. Keeps these in line with the records of the
 * store and with what endpoints announce.
 */
export class RouterEndpoints {
    readonly registry: EndpointRegistry;
    readonly links: EndpointLinks;
    readonly loads: EndpointLoads;
    readonly health: EndpointHealth;
    readonly losses: EndpointLosses;
    readonly limits: EndpointLimits;
    readonly instructions: EndpointInstructions;
    readonly readings = EndpointReadings.create();
    readonly ends = EndpointEnds.create();
    private readonly options: RouterEndpointsOptions;
    private cleanupTimer: TimerHandle | undefined;

    private constructor(options: RouterEndpointsOptions) {
        this.options = options;
        const { node: { random, log }, liveNodes, queue, propagateUpdate } = options;
        this.health = EndpointHealth.create(random, endpointId => this.losses.addEvidence(endpointId));
        this.loads = EndpointLoads.create(() => queue.wake(), () => liveNodes.getCount() - 1);
        this.limits = EndpointLimits.create({
            log,
            random,
            chooseSharers: (endpoint, maximumSharers) => liveNodes.chooseLimitSharers(endpoint, maximumSharers),
            onSignificantChange: () => {
                queue.wake();
                propagateUpdate();
            },
        });
        this.instructions = this.createInstructions();
        this.links = this.createLinks();
        this.losses = this.createLosses();
        this.registry = this.createRegistry();
    }

    /** Creates an instance without endpoints. */
    static create(options: RouterEndpointsOptions): RouterEndpoints {
        return new RouterEndpoints(options);
    }

    private createInstructions(): EndpointInstructions {
        const { node: { clock, log, metrics }, queue } = this.options;
        return EndpointInstructions.create({
            clock,
            log,
            onLeaving: endpointId => {
                metrics.endpointInstructionsTotal.inc({ instruction: "leaving" });
                this.handleLeaving(endpointId);
            },
            onPause: () => {
                metrics.endpointInstructionsTotal.inc({ instruction: "pause" });
                queue.refuseUnservable();
            },
        });
    }

    private createLinks(): EndpointLinks {
        const { node, liveNodes, propagateUpdate } = this.options;
        return EndpointLinks.create({
            ...node,
            tunnelListener: node.settings.tunnelListener,
            nodes: liveNodes.table,
            getRegistry: () => this.registry,
            onLinksChanged: propagateUpdate,
            onRefused: address =>
                this.ends.noteRefusal(
                    address,
                    this.getReadyIdAt(address) !== undefined,
                    node.clock.getMonotonicTime(),
                ),
            onDown: address => this.handleDown(address),
        });
    }

    private handleDown(address: string): void {
        const readyId = this.getReadyIdAt(address);
        if (readyId !== undefined) {
            this.options.onDown(readyId, this.options.node.clock.getMonotonicTime());
        }
    }

    private createLosses(): EndpointLosses {
        const { node: { clock, log, metrics }, liveNodes, propagateUpdate, wakePlacement } = this.options;
        return EndpointLosses.create({
            clock,
            log,
            nodes: liveNodes.table,
            getAliveTime: endpointId => this.health.getLastAliveTime(endpointId),
            getUnreachableFraction: () => this.links.getUnreachableFraction(),
            onChange: lostCount => {
                metrics.lostEndpoints.set(lostCount);
                wakePlacement();
            },
            onEvidence: propagateUpdate,
        });
    }

    private createRegistry(): EndpointRegistry {
        const {
            node: { clock, log, settings, decodeEndpoint },
            getServices,
            getLastStoreFailure,
            wakePlacement,
            onRestart,
        } = this.options;
        return EndpointRegistry.create({
            clock,
            log,
            readings: this.readings,
            decode: decodeEndpoint,
            getServices,
            drainMilliseconds: settings.drainMilliseconds,
            isLeaving: endpointId => this.instructions.isLeaving(endpointId),
            getLastStoreFailure,
            onChange: () => {
                this.scheduleCleanup();
                wakePlacement();
            },
            onRecord: endpoint => this.ends.noteStart(endpoint, clock.getMonotonicTime()),
            onRestart: (earlier, later) => {
                this.instructions.handleRestart(earlier.id, later);
                onRestart(earlier);
            },
        });
    }

    /** Gets the id of the endpoint at an address; undefined if there is none that accepts requests. */
    private getReadyIdAt(address: string): string | undefined {
        const endpoint = this.registry.getEndpointAt(address);
        const isReady = endpoint !== undefined && !endpoint.isDraining && !this.instructions.isLeaving(endpoint.id);
        return isReady ? endpoint.id : undefined;
    }

    /** Stops sending to an endpoint that has announced that it is leaving, and informs the peers. */
    private handleLeaving(endpointId: string): void {
        const { node: { clock }, queue, propagateUpdate } = this.options;
        this.registry.handleLeaving();
        this.health.addRefusal(endpointId, clock.getMonotonicTime());
        queue.refuseUnservable();
        propagateUpdate();
    }

    /** Schedules one cleanup after all changes of a listing, which has a change for each endpoint. */
    private scheduleCleanup(): void {
        const { node: { clock }, queue } = this.options;
        queue.noteCapacityChange();
        this.cleanupTimer ??= clock.setTimer(0, () => this.removeStaleState());
    }

    private removeStaleState(): void {
        this.cleanupTimer = undefined;
        const endpoints = this.registry.getAll();
        const ids = new Set(endpoints.map(({ id }) => id));
        this.health.retain(ids);
        this.loads.retain(ids);
        this.limits.retain(ids);
        this.losses.retain(ids);
        this.instructions.retain(ids);
        this.links.retain(new Set(endpoints.map(({ address }) => address)));
        this.options.queue.wake();
    }
}
