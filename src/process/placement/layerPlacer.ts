import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import { events } from "../logging/events.ts";
import { assignLayers } from "./assignLayers.ts";
import { chooseLoads } from "./chooseLoads.ts";
import { decideLayers } from "./decideLayers.ts";
import { EndpointStabilityTracker } from "./endpointStabilityTracker.ts";
import { FleetCoverage } from "./fleetCoverage.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { LayerDecisions } from "./layerDecisions.ts";
import type { LayerMove } from "./layerMove.ts";
import type { LayerOrderTracker } from "./layerOrderTracker.ts";
import { listLostColumns } from "./listLostColumns.ts";
import { LostColumnTracker } from "./lostColumnTracker.ts";
import { MovePurpose } from "./movePurpose.ts";
import { MoveSchedule } from "./moveSchedule.ts";
import type { PlacementControllerOptions } from "./placementControllerOptions.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { PlacementPlans } from "./placementPlans.ts";
import type { PlacementWork } from "./placementWork.ts";
import type { PlacementWorkState } from "./placementWorkState.ts";

type LayerPlacerOptions =
    & Pick<PlacementControllerOptions, "clock" | "runLong" | "log" | "lease" | "getEndpoints" | "getLostEndpoints">
    & {
        plans: PlacementPlans;
        orders: LayerOrderTracker;
        work: PlacementWorkState;
        /** Time in milliseconds until the next check of endpoints that are not stable yet. */
        unstableCheckMilliseconds: number;
    };

/** Orders that are wanted for a service, and what decides which of them are sent. */
interface WantedOrders {
    model: EngineModel;
    columns: readonly LayerColumn[];
    endpoints: readonly RegisteredEndpoint[];
    /** The endpoints as the placement sees them, with the layers that they were ordered to hold. */
    states: readonly PlacementEndpoint[];
    assignments: readonly LayerAssignment[];
    /** Monotonic time of the check in milliseconds. */
    now: number;
}

/** Places the layers of one service after another: decides what its endpoints should hold, and orders what is due. */
export class LayerPlacer {
    private readonly options: LayerPlacerOptions;
    private readonly stabilityTracker = EndpointStabilityTracker.create();
    private readonly moveSchedule = MoveSchedule.create();
    private readonly lostColumns = LostColumnTracker.create();
    /** Why orders are withheld, by service, as logged. */
    private readonly withheldReasons = new Map<string, string>();

    private constructor(options: LayerPlacerOptions) {
        this.options = options;
    }

    /** Creates a placer that has seen no endpoint yet. */
    static create(options: LayerPlacerOptions): LayerPlacer {
        return new LayerPlacer(options);
    }

    /**
     * Checks the endpoints of a service and sends the orders that are due.
     * @param fencingNumber - Fencing number of the orders; undefined if this node must not send any.
     */
    place(service: string, model: EngineModel, fencingNumber: number | undefined): PlacementWork {
        const { clock, plans, orders, runLong, getEndpoints, unstableCheckMilliseconds } = this.options;
        const endpoints = getEndpoints(service);
        if (endpoints.length === 0) {
            return { isDue: false, isPending: false, nextCheckAt: Infinity };
        }
        const now = clock.getMonotonicTime();
        const isStable = this.stabilityTracker.update(service, endpoints, now);
        const stableCheckAt = isStable ? Infinity : now + unstableCheckMilliseconds;
        const columns = plans.get(service);
        if (columns === undefined) {
            void plans.ensure(service, model, endpoints, { isStable, canOrder: fencingNumber !== undefined });
            return { isDue: true, isPending: false, nextCheckAt: stableCheckAt };
        }
        orders.removeCompleted(service, endpoints);
        const states = this.createPlacementEndpoints(endpoints, now);
        const { assignments, moves } = runLong("assignLayers", () => this.decide(service, model, columns, states));
        const { due, balancing, isLeaseNeeded, nextDueAt = Infinity } = this.scheduleMoves(
            service,
            moves,
            endpoints,
            isStable,
        );
        const wanted = [...assignments, ...due];
        const isPending = isLeaseNeeded || orders.hasPending();
        if (wanted.length > 0 || isPending) {
            // The lease is neither acquired nor kept for balance alone: the calls to the store have a price, and the service is complete.
            wanted.push(...balancing);
        }
        this.sendOrders(service, { model, columns, endpoints, states, assignments: wanted, now }, fencingNumber);
        return {
            isDue: wanted.length > 0,
            isPending: isPending || orders.hasPending(),
            nextCheckAt: Math.min(stableCheckAt, nextDueAt, this.getLossCheckTime(service, now)),
        };
    }

    /** Gets the monotonic time in milliseconds at which the loss of a column becomes final; Infinity if there is none that isn't. */
    private getLossCheckTime(service: string, now: number): number {
        return this.lostColumns.isFinal(service, now) ? Infinity : this.lostColumns.getFinalTime(service);
    }

    /** Sends the orders that may run at once, unless this node must not send any. */
    private sendOrders(service: string, wanted: WantedOrders, fencingNumber: number | undefined): void {
        const { model, columns, endpoints, states, assignments, now } = wanted;
        const { orders, work, lease } = this.options;
        if (fencingNumber === undefined) {
            if (lease.isLastHolder()) {
                const reason = "the lease has expired and another node may acquire it";
                this.logWithheld(service, assignments.length, reason);
            }
            return;
        }
        const { loadsAtOnce } = model;
        const activeLoads = orders.countActiveLoads(service, now);
        const chosen = chooseLoads({ columns, endpoints: states, assignments, activeLoads, loadsAtOnce });
        for (const { endpointId, layers } of chosen) {
            const endpoint = endpoints.find(({ id }) => id === endpointId);
            if (endpoint !== undefined) {
                work.recordOrder();
                void orders.send(model, endpoint, layers, fencingNumber);
            }
        }
        orders.checkOverdue();
        this.logWithheld(service, assignments.length - chosen.length, "other loads are running");
    }

    /**
     * Decides on assignments and moves. Nodes have evidence of a loss seconds before the endpoint's record ends, and within these seconds
     * many endpoints are back. The evidence suffices for assignments to free endpoints and for moves to columns that the fleet lacks. Any
     * other move takes an endpoint out of service for its load, so it counts an endpoint as lost only once its record has ended.
     */
    private decide(
        service: string,
        model: EngineModel,
        columns: readonly LayerColumn[],
        states: readonly PlacementEndpoint[],
    ): LayerDecisions {
        const now = this.options.clock.getMonotonicTime();
        const fleet = FleetCoverage.create(model, columns, states);
        const isLossFinal = this.lostColumns.isFinal(service, now);
        this.lostColumns.update(service, listLostColumns(fleet, states).length > 0, now);
        const decision = decideLayers(fleet, states, isLossFinal);
        const lost = this.options.getLostEndpoints(service);
        if (lost.length === 0) {
            return decision;
        }
        const lostStates = this.createPlacementEndpoints(lost, now).map(state => ({ ...state, isBusy: true }));
        const { moves } = assignLayers(model, columns, [...states, ...lostStates]);
        const isForFleet = ({ purpose }: LayerMove) => purpose === MovePurpose.FleetLacks;
        const fleetMoves = decision.moves.filter(isForFleet);
        // Moves of the two decisions don't count each other, so that together they could take all replicas of a column.
        const dataCentres = new Map(states.map(({ id, dataCentre }) => [id, dataCentre]));
        const moving = new Set(fleetMoves.map(({ endpointId }) => dataCentres.get(endpointId)));
        const others = moves.filter(move => !isForFleet(move) && !moving.has(dataCentres.get(move.endpointId)));
        return { assignments: decision.assignments, moves: [...fleetMoves, ...others] };
    }

    /** Logs why orders are withheld, once until the reason changes. */
    private logWithheld(service: string, orders: number, reason: string): void {
        if (orders === 0) {
            this.withheldReasons.delete(service);
        }
        else if (this.withheldReasons.get(service) !== reason) {
            this.withheldReasons.set(service, reason);
            this.options.log.write(events.placementOrderWithheld, { service, orders, reason });
        }
    }

    private scheduleMoves(
        service: string,
        moves: readonly LayerMove[],
        endpoints: readonly RegisteredEndpoint[],
        isStable: boolean,
    ) {
        // A node that has just started may not know all endpoints yet, and a needless move takes a replica from another column.
        const dataCentres = new Map(endpoints.map(({ id, dataCentre }) => [id, dataCentre]));
        const now = this.options.clock.getMonotonicTime();
        return this.moveSchedule.update(service, isStable ? moves : [], id => dataCentres.get(id) ?? "", now);
    }

    private createPlacementEndpoints(endpoints: readonly RegisteredEndpoint[], now: number): PlacementEndpoint[] {
        return endpoints.map(endpoint => ({
            id: endpoint.id,
            dataCentre: endpoint.dataCentre,
            kind: endpoint.kind ?? "",
            layers: this.options.orders.getOrderedLayers(endpoint.id) ?? endpoint.layers,
            isBusy: this.options.orders.isBusy(endpoint, now),
        }));
    }
}
