import { Err, type Result } from "../../result.ts";
import type { CustomerConfiguration } from "../../version/configuration.ts";
import type { AdmissionOptions } from "./admissionOptions.ts";
import type { AdmissionRequest } from "./admissionRequest.ts";
import { AdmissionTicket } from "./admissionTicket.ts";
import { createCancelledRefusal } from "./createCancelledRefusal.ts";
import { createDrainingRefusal } from "./createDrainingRefusal.ts";
import type { QueueEntry } from "./queueEntry.ts";
import type { Refusal } from "./refusal.ts";
import { ServiceGate } from "./serviceGate.ts";
import { Waiter } from "./waiter.ts";

/**
 * Maximum number of one customer's entries in the queue of one gate, as a fraction of the node's maximum number of queued
 * requests.
 */
const maximumCustomerQueueFraction = 0.5;

/**
 * Admission control: decides which requests run, wait or are refused. Each request passes one gate, the concurrency limit
 * and the queue in front of a set of endpoints; `getGateName` gets the name of a service's gate. An admitted request gets a
 * ticket, the right to run. A refused request has not run, since nothing is sent to an endpoint before the ticket is
 * issued.
 */
export class Admission {
    private readonly gates = new Map<string, ServiceGate<Waiter>>();
    private readonly options: AdmissionOptions;
    private isDraining = false;

    private constructor(options: AdmissionOptions) {
        this.options = options;
    }

    /** Creates an instance without running or waiting requests. */
    static create(options: AdmissionOptions): Admission {
        return new Admission(options);
    }

    /** Number of requests that wait on this node. */
    get waitingCount(): number {
        let count = 0;
        for (const gate of this.gates.values()) {
            count += gate.queue.waitingCount;
        }
        return count;
    }

    /** Gets the numbers of running and waiting requests and the concurrency limit of each gate that has been used. */
    getGateLoads(): { gate: string; running: number; waiting: number; limit: number; }[] {
        return [...this.gates].map(([name, gate]) => ({
            gate: name,
            running: gate.running,
            waiting: gate.queue.waitingCount,
            limit: gate.getLimit(),
        }));
    }

    /**
     * Waits until a request may run or is refused.
     * @returns The ticket to run it, or the refusal; the promise never rejects.
     */
    requestAdmission(request: AdmissionRequest): Promise<Result<AdmissionTicket, Refusal>> {
        const now = this.options.clock.getMonotonicTime();
        const refusal = this.getRefusal(request, now);
        if (refusal !== undefined) {
            return Promise.resolve(Err(refusal));
        }
        const waiter = Waiter.create(request, now, this.getLatestStart(request, now));
        this.enqueue(waiter, now);
        this.admitWaiting(request.gate);
        if (waiter.entry?.isWaiting) {
            this.limitWait(waiter, now);
        }
        return waiter.result;
    }

    /** Admits the waiting requests that may start now; call it after the concurrency limit of a gate has increased. */
    admitWaiting(gateName: string): void {
        const gate = this.getGate(gateName);
        const now = this.options.clock.getMonotonicTime();
        for (let waiter = gate.takeNext(now); waiter !== undefined; waiter = gate.takeNext(now)) {
            // The event loop was busy, so the waiter's timer has not fired yet.
            if (waiter.latestStart < now) {
                this.refuseWaiter(waiter, gate.createWaitRefusal(waiter.request, this.maximumWait, now));
                continue;
            }
            gate.start();
            waiter.admit(this.createTicket(waiter, gate, now));
        }
    }

    /**
     * Lowers the concurrency limit of a gate after an engine refused an admitted request for lack of memory. Call it before
     * releasing the ticket: the new limit is computed from the number of running requests, which has to include the
     * refused one.
     */
    observeRefusal(gateName: string): void {
        this.getGate(gateName).observeRefusal(this.options.clock.getMonotonicTime());
    }

    /** Refuses all new and waiting requests from now on; running requests continue. */
    startDraining(): void {
        this.isDraining = true;
        for (const gate of this.gates.values()) {
            for (let entry = gate.queue.dequeue(); entry !== undefined; entry = gate.queue.dequeue()) {
                entry.item.refuse(createDrainingRefusal(this.options.random));
            }
        }
    }

    /** Maximum wait of any request, in milliseconds. */
    private get maximumWait(): number {
        return this.options.getConfiguration().limits.maximumQueueMilliseconds;
    }

    private getRefusal(request: AdmissionRequest, now: number): Refusal | undefined {
        if (this.isDraining) {
            return createDrainingRefusal(this.options.random);
        }
        if (request.signal?.aborted) {
            return createCancelledRefusal();
        }
        const limitRefusal = this.options.customerLimits?.takeRequest(request.customer, now);
        if (limitRefusal !== undefined) {
            return limitRefusal;
        }
        const gate = this.getGate(request.gate);
        const refusal = gate.getWaitRefusal(request, this.maximumWait, now)
            ?? this.getQueueRefusal(gate, request, now);
        if (refusal !== undefined) {
            this.options.customerLimits?.refundRequest(request.customer);
        }
        return refusal;
    }

    private getQueueRefusal(gate: ServiceGate<Waiter>, request: AdmissionRequest, now: number): Refusal | undefined {
        if (gate.isOpen()) {
            return undefined;
        }
        const maximum = this.options.getConfiguration().limits.maximumQueuedRequests;
        const isOverCustomerFraction =
            gate.queue.getCustomerCount(request.customer) >= Math.ceil(maximum * maximumCustomerQueueFraction);
        const isFull = this.waitingCount >= maximum;
        if (isOverCustomerFraction || isFull && this.getEntryToEvict(gate, request) === undefined) {
            return gate.createQueueRefusal(request, this.maximumWait, now);
        }
        return undefined;
    }

    private enqueue(waiter: Waiter, now: number): void {
        const { customer, gate: gateName, cost } = waiter.request;
        const gate = this.getGate(gateName);
        if (!gate.isOpen() && this.waitingCount >= this.options.getConfiguration().limits.maximumQueuedRequests) {
            const evicted = this.getEntryToEvict(gate, waiter.request)?.item;
            if (evicted !== undefined) {
                this.removeAndRefuse(evicted, gate.createQueueRefusal(evicted.request, this.maximumWait, now));
            }
        }
        waiter.entry = gate.queue.enqueue({ item: waiter, customer, weight: this.getWeight(customer), cost });
    }

    /**
     * Gets the entry to evict from the gate's queue in favour of a new request: the newest entry of the customer with the
     * highest waiting cost relative to its weight. Undefined if no customer's cost is higher than that of the request's
     * customer would be with the request.
     */
    private getEntryToEvict(gate: ServiceGate<Waiter>, request: AdmissionRequest): QueueEntry<Waiter> | undefined {
        const { customer, cost } = request;
        return gate.queue.getEntryToEvict({ customer, cost, weight: this.getWeight(customer) });
    }

    private getLatestStart(request: AdmissionRequest, now: number): number {
        return now + Math.max(0, this.getGate(request.gate).getAllowedWait(request, this.maximumWait, now));
    }

    /**
     * Sets the timer that refuses a waiting request after its latest start, and installs the abort listener that refuses it
     * when its caller disconnects.
     */
    private limitWait(waiter: Waiter, now: number): void {
        const { clock } = this.options;
        const gate = this.getGate(waiter.request.gate);
        const timer = clock.setTimer(waiter.latestStart - now, () => {
            this.removeAndRefuse(
                waiter,
                gate.createWaitRefusal(waiter.request, this.maximumWait, clock.getMonotonicTime()),
            );
        });
        waiter.setCancellation(timer, () => this.removeAndRefuse(waiter, createCancelledRefusal()));
    }

    private removeAndRefuse(waiter: Waiter, refusal: Refusal): void {
        if (waiter.entry !== undefined && this.getGate(waiter.request.gate).queue.remove(waiter.entry)) {
            this.refuseWaiter(waiter, refusal);
        }
    }

    private refuseWaiter(waiter: Waiter, refusal: Refusal): void {
        this.options.customerLimits?.refundRequest(waiter.request.customer);
        waiter.refuse(refusal);
    }

    private createTicket(waiter: Waiter, gate: ServiceGate<Waiter>, startedAt: number): AdmissionTicket {
        const { customer, gate: gateName, cost } = waiter.request;
        return AdmissionTicket.create({
            customer,
            gate: gateName,
            priority: this.getCustomer(customer)?.priority ?? 0,
            queuedMilliseconds: startedAt - waiter.arrivedAt,
            onRelease: tokens => {
                const now = this.options.clock.getMonotonicTime();
                const weight = this.getWeight(customer);
                gate.finish({ customer, weight, cost, tokens, elapsedMilliseconds: now - startedAt }, now);
                this.admitWaiting(gateName);
            },
        });
    }

    private getCustomer(customer: string): CustomerConfiguration | undefined {
        return this.options.getConfiguration().customers[customer];
    }

    private getWeight(customer: string): number {
        return this.getCustomer(customer)?.weight ?? 1;
    }

    private getGate(name: string): ServiceGate<Waiter> {
        let gate = this.gates.get(name);
        if (gate === undefined) {
            const { getConcurrencyLimit, random } = this.options;
            gate = ServiceGate.create<Waiter>(() => getConcurrencyLimit(name), random);
            this.gates.set(name, gate);
        }
        return gate;
    }
}
