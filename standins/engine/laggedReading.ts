import type { Clock, TimerHandle } from "../../src/process/clock.ts";

/** Options of {@link LaggedReading}. */
interface LaggedReadingOptions<T> {
    clock: Clock;
    /** Interval between two readings, in milliseconds; 0 for a new one at each call. */
    intervalMilliseconds: number;
    read(): T;
}

/** Figures that are taken at intervals and are old in between. */
export class LaggedReading<T> {
    private readonly options: LaggedReadingOptions<T>;
    private value: T;
    private readingTime: number;
    private timer: TimerHandle | undefined;

    private constructor(options: LaggedReadingOptions<T>) {
        this.options = options;
        this.value = options.read();
        this.readingTime = options.clock.getMonotonicTime();
        this.schedule();
    }

    /** Creates a reading and takes the first figures. */
    static create<T>(options: LaggedReadingOptions<T>): LaggedReading<T> {
        return new LaggedReading(options);
    }

    /** Gets the last figures and their age in milliseconds. */
    get(): { value: T; ageMilliseconds: number; } {
        if (this.options.intervalMilliseconds === 0) {
            return { value: this.options.read(), ageMilliseconds: 0 };
        }
        return { value: this.value, ageMilliseconds: this.options.clock.getMonotonicTime() - this.readingTime };
    }

    /** Takes no more figures. */
    close(): void {
        this.timer?.cancel();
    }

    private schedule(): void {
        const { clock, intervalMilliseconds, read } = this.options;
        if (intervalMilliseconds === 0) {
            return;
        }
        this.timer = clock.setTimer(intervalMilliseconds, () => {
            this.value = read();
            this.readingTime = clock.getMonotonicTime();
            this.schedule();
        });
    }
}
