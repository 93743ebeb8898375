import type { Clock, TimerHandle } from "../../src/process/clock.ts";

/** Options of {@link PeriodicSample}. */
interface PeriodicSampleOptions<T> {
    clock: Clock;
    /** Interval between two samples, in milliseconds; 0 to read the value at each call. */
    intervalMilliseconds: number;
    read(): T;
}

/** A value that is sampled at intervals and stays the same in between. */
export class PeriodicSample<T> {
    private readonly options: PeriodicSampleOptions<T>;
    private value: T;
    private sampleTime: number;
    private timer: TimerHandle | undefined;

    private constructor(options: PeriodicSampleOptions<T>) {
        this.options = options;
        this.value = options.read();
        this.sampleTime = options.clock.getMonotonicTime();
        this.schedule();
    }

    /** Takes the first sample and schedules the next ones. */
    static create<T>(options: PeriodicSampleOptions<T>): PeriodicSample<T> {
        return new PeriodicSample(options);
    }

    /** Gets the last sample and its age in milliseconds. */
    get(): { value: T; ageMilliseconds: number; } {
        if (this.options.intervalMilliseconds === 0) {
            return { value: this.options.read(), ageMilliseconds: 0 };
        }
        return { value: this.value, ageMilliseconds: this.options.clock.getMonotonicTime() - this.sampleTime };
    }

    /** Stops sampling. */
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
            this.sampleTime = clock.getMonotonicTime();
            this.schedule();
        });
    }
}
