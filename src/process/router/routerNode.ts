import { FramedServer } from "../../connection/peer/framed/framedServer.ts";
import type { AnswerSink } from "../../request/relay/answers/answerSink.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import { RouterService } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import { events } from "../logging/events.ts";
import { createRouterStatus } from "./createRouterStatus.ts";
import type { RequestRouter } from "./requestRouter.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import { RouterParts } from "./routerParts.ts";

/** Interval at which a stopping node looks for requests that it can't answer in time any more. */
const stopReviewMilliseconds = 100;

/** A node that routes requests to endpoints registered in the platform's store. */
export class RouterNode {
    private readonly options: RouterNodeOptions;
    private readonly parts: RouterParts;
    private peerServer: FramedServer | undefined;
    private isDraining = false;

    private constructor(options: RouterNodeOptions) {
        this.options = options;
        this.parts = RouterParts.create({
            node: options,
            isDraining: () => this.isDraining,
            isReady: () => this.isReady(),
        });
    }

    /** Creates a node, which does nothing before {@link start}. */
    static create(options: RouterNodeOptions): RouterNode {
        return new RouterNode(options);
    }

    /** Listens for peers, watches the store and tries to acquire the placement lease. */
    async start(): Promise<void> {
        const { settings, log, nodeId, version } = this.options;
        const { exchange, endpoints, storeWatch, quarantine, placementController, endpointPoller } = this.parts;
        this.peerServer = await FramedServer.create({
            address: settings.peerListener,
            service: RouterService,
            handlers: {
                exchange: request => exchange.handleExchange(request),
                fetch: request => exchange.handleFetch(request),
            },
        });
        await endpoints.links.start();
        storeWatch.start();
        quarantine.persister.start();
        exchange.start();
        placementController.start();
        endpointPoller.start();
        log.write(events.nodeStarted, { nodeId, version });
    }

    /** Routes a request. Its caller gets exactly one answer. */
    handle(request: RoutedRequest, sink: AnswerSink): void {
        this.parts.router.handle(request, sink);
    }

    /**
     * Refuses a request before its body is read if this node is too late to serve it, or if nothing can come of a body that may be large.
     * @returns The refusal, or undefined if the request is to be handled as usual.
     */
    refuseEarly(
        head: Pick<RoutedRequest, "id" | "host" | "target" | "apiKey">,
        hasLargeBody: boolean,
    ): RelayRefusal | undefined {
        return this.parts.earlyRefuser.decide(head, hasLargeBody);
    }

    /** Gets how new connections of callers are watched. */
    getNewConnectionOptions() {
        const { overload } = this.parts;
        return {
            canPeersTakeConnections: () => overload.canPeersTakeConnections(),
            onQueueEnd: (queueMilliseconds: number, closed: number) => overload.noteQueueEnd(queueMilliseconds, closed),
        };
    }

    /** Checks if the load balancer should send callers to this node. */
    isReady(): boolean {
        return !this.isDraining && !this.parts.overload.isOutOfRotation() && this.getRouting() !== undefined;
    }

    /** Gets the configuration in force; undefined if there is none yet. */
    getRouting() {
        return this.parts.routing.getState();
    }

    /** Gets the status of this node for operators. */
    getStatus(): object {
        return createRouterStatus(this.options, this.parts, this.isReady());
    }

    /** Handles that the store was restored from an older snapshot, and may have lost what it had acknowledged. */
    handleStoreRestored(): void {
        const { lease, storeWatch, quarantine, placementController } = this.parts;
        lease.handleStoreRestored();
        storeWatch.handleStoreRestored();
        quarantine.persister.handleStoreRestored();
        placementController.handleStoreRestored();
    }

    /**
     * Reports this node as not ready to the load balancer, and gives up its duties.
     * @param endsAt - Monotonic time in milliseconds at which the requests that are still open are ended.
     */
    async startDraining(endsAt = Infinity): Promise<void> {
        const { placementController, endpointPoller, endpoints, exchange, lease, environment: { stop, clock } } =
            this.parts;
        this.isDraining = true;
        stop.begin({ begunAt: clock.getMonotonicTime(), endsAt });
        this.options.log.write(events.nodeDraining, {});
        this.reviewRequests();
        placementController.stop();
        endpointPoller.stop();
        endpoints.links.startDraining();
        exchange.propagateUpdate();
        await lease.stop();
    }

    /** Waits until peers use no connections to endpoints through this node any more. */
    waitUntilUnused(): Promise<void> {
        return this.parts.endpoints.links.waitUntilUnused();
    }

    /** Refuses the requests that wait for free memory, since they can't start before this node ends. Returns their number. */
    refuseWaiting(): number {
        return this.parts.queue.refuseAll();
    }

    /** Ends the requests that have no final answer, because this node ends. Returns their number by what happened to them. */
    endRequests(): ReturnType<RequestRouter["endOpen"]> {
        return this.parts.router.endOpen();
    }

    /** Logs how many requests the stop has ended, and how many answers were still not sent completely then. */
    reportEndedRequests(counts: ReturnType<RequestRouter["endOpen"]> & { refused: number; unfinished: number; }): void {
        this.options.log.write(events.requestsEndedAtStop, counts);
    }

    /** Stops the remaining parts and closes the connections. */
    async stop(): Promise<void> {
        const { storeWatch, quarantine, exchange, endpoints } = this.parts;
        storeWatch.stop();
        quarantine.persister.stop();
        exchange.stop();
        await endpoints.links.close();
        await this.peerServer?.close();
    }

    /** Ends the requests that wait and can't be answered any more before this node ends, now and as its time passes. */
    private reviewRequests(): void {
        const { router, environment: { stop, clock } } = this.parts;
        const remainingMilliseconds = stop.getRemainingTime(clock.getMonotonicTime());
        router.endHopeless(remainingMilliseconds);
        if (remainingMilliseconds > 0 && remainingMilliseconds < Infinity) {
            clock.setTimer(Math.min(remainingMilliseconds, stopReviewMilliseconds), () => this.reviewRequests());
        }
    }
}
