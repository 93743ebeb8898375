import type { FencedLease } from "../leases/fencedLease.ts";
import { events } from "../logging/events.ts";
import { countMissingLayers } from "./countMissingLayers.ts";
import { EngineGracePeriod } from "./engineGracePeriod.ts";
import { EngineStatuses } from "./engineStatuses.ts";
import { LoadPlanner } from "./loadPlanner.ts";
import { LoadRecord } from "./loadRecord.ts";
import { LoadTracker } from "./loadTracker.ts";
import type { ObservedEngine } from "./observedEngine.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";
import type { PlannedLoad } from "./plannedLoad.ts";

type PendingLoad = ReturnType<LoadTracker["getPending"]>[number];

const okStatus = 200;

/**
 * Runs the rounds of a node that owns the duty to issue orders. Each round compares the layers that engines hold with
 * the desired number of holders and orders loads for the difference. Without the lease it only observes the engines.
 */
export class OrderReconciler {
    private readonly options: OrderDispatcherOptions;
    private readonly lease: FencedLease;
    private readonly grace: EngineGracePeriod;
    private readonly loadTracker: LoadTracker;
    private readonly record: LoadRecord;
    private readonly statuses: EngineStatuses;
    private readonly planner: LoadPlanner;
    /** Fencing number under which the loads were restored from the record. */
    private restoredFencingNumber: number | undefined;
    /** Whether the loads have changes that are not stored in the record yet. */
    private isRecordStale = false;

    private constructor(options: OrderDispatcherOptions, lease: FencedLease) {
        this.options = options;
        this.lease = lease;
        this.grace = EngineGracePeriod.create(options.policy.gracePeriodMilliseconds);
        this.loadTracker = LoadTracker.create(options.policy);
        this.record = LoadRecord.create(options.store);
        this.statuses = EngineStatuses.create(options.getStatus, options.random);
        const { loadTracker, statuses } = this;
        this.planner = LoadPlanner.create({
            dispatcher: options,
            loadTracker,
            statuses,
            observe: () => this.observe(),
        });
    }

    /** Creates an instance. The lease must have been started. */
    static create(options: OrderDispatcherOptions, lease: FencedLease): OrderReconciler {
        return new OrderReconciler(options, lease);
    }

    /**
     * Observes the engines. If the lease is held, also settles loads, reads the loading engines, plans loads, stores
     * them and sends their orders.
     */
    async runRound(): Promise<void> {
        const engines = this.observe();
        if (!await this.readRecord()) {
            return;
        }
        this.settleLoads(engines);
        await this.confirmLoads();
        this.addLoads(await this.planner.plan());
        await this.writeRecord();
        await this.sendOrders();
    }

    private now(): number {
        return this.options.clock.getMonotonicTime();
    }

    private observe(): ObservedEngine[] {
        return this.grace.observe(this.options.getEndpointStates(), this.now());
    }

    /**
     * Reads the record after a failed write, and once for each new fencing number to restore its loads. Returns whether the
     * lease is held and the revision of the record is known.
     */
    private async readRecord(): Promise<boolean> {
        const fencingNumber = this.lease.getFencingNumber();
        if (fencingNumber === undefined) {
            return false;
        }
        if (this.restoredFencingNumber === fencingNumber && this.record.isRevisionKnown()) {
            return true;
        }
        const loads = await this.record.read();
        if (loads.err) {
            this.options.log.write(events.loadRecordFailed, { reason: loads.val });
            return false;
        }
        if (this.restoredFencingNumber !== fencingNumber) {
            this.loadTracker.restore(loads.val, this.now());
            this.restoredFencingNumber = fencingNumber;
            this.isRecordStale = false;
        }
        return true;
    }

    private settleLoads(engines: readonly ObservedEngine[]): void {
        for (const { load, failure } of this.loadTracker.settle(engines, this.now())) {
            const fields = getLogFields(load);
            this.isRecordStale = true;
            if (failure === undefined) {
                this.options.log.write(events.layersLoaded, fields);
            }
            else {
                this.options.log.write(events.loadFailed, { ...fields, reason: failure });
            }
        }
    }

    /**
     * Reads the statuses of loading engines. If an engine has not seen the fencing number, the order was lost and is
     * marked to be sent again.
     */
    private async confirmLoads(): Promise<void> {
        const loads = this.loadTracker.getPending().filter(load => load.isSent);
        const statuses = await this.statuses.read(loads.map(load => load.endpoint));
        const fencingNumber = this.lease.getFencingNumber();
        for (const load of loads) {
            const status = statuses.get(load.endpoint);
            if (status === undefined || fencingNumber === undefined) {
                continue;
            }
            load.isConfirmed = countMissingLayers(status.layers, load.range) === 0;
            load.isSent = load.isConfirmed || status.fencingNumber >= fencingNumber;
        }
    }

    private addLoads(loads: readonly PlannedLoad[]): void {
        if (loads.length > 0) {
            this.loadTracker.add(loads, this.now());
            this.isRecordStale = true;
        }
    }

    /** Stores the loads if they have changed. No order is sent until the write is confirmed. */
    private async writeRecord(): Promise<void> {
        if (!this.isRecordStale || this.lease.getFencingNumber() !== this.restoredFencingNumber) {
            return;
        }
        const written = await this.record.write(this.loadTracker.getRecords());
        this.isRecordStale = written.err;
        if (written.err) {
            this.options.log.write(events.loadRecordFailed, { reason: written.val });
        }
    }

    /**
     * Sends the orders of stored loads that have not been sent yet under the current fencing number to serving engines.
     */
    private async sendOrders(): Promise<void> {
        if (this.isRecordStale || this.lease.getFencingNumber() !== this.restoredFencingNumber) {
            return;
        }
        const serving = new Set<string>();
        for (const { endpoint, isServing } of this.observe()) {
            if (isServing) {
                serving.add(endpoint);
            }
        }
        const loads = this.loadTracker.getPending().filter(load => !load.isSent && serving.has(load.endpoint));
        await Promise.all(loads.map(load => this.sendOrder(load)));
    }

    /** Sends an order in the same turn of the event loop in which the lease is checked. */
    private async sendOrder(load: PendingLoad): Promise<void> {
        const { log, sendOrder } = this.options;
        const { endpoint, range } = load;
        const sendResult = this.lease.withFencing(fencingNumber => {
            const answer = sendOrder(endpoint, { fencingNumber, kind: "load", range });
            log.write(events.loadOrdered, { ...getLogFields(load), fencingNumber });
            return answer;
        });
        const answer = sendResult.ok ? await sendResult.val : undefined;
        if (answer === undefined || answer.err) {
            return;
        }
        load.isSent = answer.val === okStatus;
        if (!load.isSent) {
            this.loadTracker.fail(load, this.now());
            this.isRecordStale = true;
            log.write(events.loadRefused, { ...getLogFields(load), status: answer.val });
        }
    }
}

function getLogFields({ endpoint, range }: PlannedLoad): Record<string, string> {
    return { endpoint, layers: `${range.model} ${range.start}-${range.end}` };
}
