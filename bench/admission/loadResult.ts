/** Data of a caller that a result uses. */
interface ObservedCaller {
    customer: string;
    tokens: number;
    arrivedAt: number;
    isCounted: boolean;
}

/** Maximum number of tokens of a short run. */
const shortTokens = 100;

/** Result of a run of the load model. Times are in milliseconds. */
export class LoadResult {
    /** Tokens of the runs that ended in time and after the warm-up, regardless of when their callers arrived. */
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

    /**
     * Creates an empty result.
     * @param warmUpMilliseconds - Tokens of runs that end before this time are not counted.
     */
    static create(warmUpMilliseconds: number): LoadResult {
        return new LoadResult(warmUpMilliseconds);
    }

    /** Counts the arrival of a caller. */
    observeArrival(caller: ObservedCaller): void {
        this.arrivals += caller.isCounted ? 1 : 0;
    }

    /**
     * Records a run that ended in time.
     * @param wait - Time from the last attempt to the start of the run.
     */
    observeFinish(caller: ObservedCaller, wait: number, now: number): void {
        this.goodTokens += now >= this.warmUpMilliseconds ? caller.tokens : 0;
        if (!caller.isCounted) {
            return;
        }
        this.finished++;
        add(this.waits, caller.customer, wait);
        add(this.totals, caller.customer, now - caller.arrivedAt);
        if (caller.tokens <= shortTokens) {
            add(this.shortTotals, caller.customer, now - caller.arrivedAt);
        }
    }

    /**
     * Records a refusal.
     * @param latency - Time from the attempt to the refusal.
     * @param retryAfter - Retry delay given to the caller.
     */
    observeRefusal(caller: ObservedCaller, latency: number, retryAfter: number): void {
        if (caller.isCounted) {
            this.refusals++;
            this.refusalLatencies.push(latency);
            this.retryAfters.push(retryAfter);
        }
    }

    /** Gets the times from the last attempt to the start of the run, of the customers that a function selects. */
    getWaits(isSelected: (customer: string) => boolean): number[] {
        return selectValues(this.waits, isSelected);
    }

    /** Gets the times from the arrival of the caller to the end of the run. */
    getTotals(isSelected: (customer: string) => boolean): number[] {
        return selectValues(this.totals, isSelected);
    }

    /** Gets the times from the arrival of the caller to the end of the run, of short runs only. */
    getShortTotals(isSelected: (customer: string) => boolean): number[] {
        return selectValues(this.shortTotals, isSelected);
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

function selectValues(lists: Map<string, number[]>, isSelected: (customer: string) => boolean): number[] {
    const values: number[] = [];
    for (const [customer, list] of lists) {
        if (isSelected(customer)) {
            values.push(...list);
        }
    }
    return values;
}
