/** What the result needs to know of a caller. */
interface ObservedCaller {
    customer: string;
    tokens: number;
    bornAt: number;
    isCounted: boolean;
}

/** Runs of no more tokens than this are short. */
const shortTokens = 100;

/** What a run of the load model showed. Times are milliseconds. */
export class LoadResult {
    /** Tokens of the runs that ended in time and after the warm-up, whenever their callers came. */
    goodTokens = 0;
    arrivals = 0;
    finished = 0;
    refusals = 0;
    readonly refusalLatencies: number[] = [];
    readonly retryAfters: number[] = [];
    private readonly waits = new Map<string, number[]>();
    private readonly totals = new Map<string, number[]>();
    private readonly shortTotals = new Map<string, number[]>();

    private readonly warmUpMilliseconds: number;

    private constructor(warmUpMilliseconds: number) {
        this.warmUpMilliseconds = warmUpMilliseconds;
    }

    /** @param warmUpMilliseconds - What ends before is not counted. */
    static create(warmUpMilliseconds: number): LoadResult {
        return new LoadResult(warmUpMilliseconds);
    }

    /** Counts a caller's first sending. */
    observeArrival(caller: ObservedCaller): void {
        this.arrivals += caller.isCounted ? 1 : 0;
    }

    /** Counts a run that ended in time, with its wait in milliseconds. */
    observeFinish(caller: ObservedCaller, wait: number, now: number): void {
        this.goodTokens += now >= this.warmUpMilliseconds ? caller.tokens : 0;
        if (!caller.isCounted) {
            return;
        }
        this.finished++;
        add(this.waits, caller.customer, wait);
        add(this.totals, caller.customer, now - caller.bornAt);
        if (caller.tokens <= shortTokens) {
            add(this.shortTotals, caller.customer, now - caller.bornAt);
        }
    }

    /** Counts a refusal, with the time until it and the time until the return in milliseconds. */
    observeRefusal(caller: ObservedCaller, latency: number, retryAfter: number): void {
        if (caller.isCounted) {
            this.refusals++;
            this.refusalLatencies.push(latency);
            this.retryAfters.push(retryAfter);
        }
    }

    /** Gets the times from sending to the start, of the customers that a function picks. */
    getWaits(isPicked: (customer: string) => boolean): number[] {
        return pick(this.waits, isPicked);
    }

    /** Gets the times from the first sending to the end. */
    getTotals(isPicked: (customer: string) => boolean): number[] {
        return pick(this.totals, isPicked);
    }

    /** Gets the times from the first sending to the end, of the short runs. */
    getShortTotals(isPicked: (customer: string) => boolean): number[] {
        return pick(this.shortTotals, isPicked);
    }
}

function add(lists: Map<string, number[]>, key: string, value: number): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [value]);
    }
    else {
        list.push(value);
    }
}

function pick(lists: Map<string, number[]>, isPicked: (customer: string) => boolean): number[] {
    const values: number[] = [];
    for (const [customer, list] of lists) {
        if (isPicked(customer)) {
            values.push(...list);
        }
    }
    return values;
}
