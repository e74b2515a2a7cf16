/** Signals that arrive while a process starts; without a handler they would end it. */
const handledSignals = ["SIGTERM", "SIGHUP"] as const;

export class StartupSignals implements Disposable {
    private readonly received = new Set<NodeJS.Signals>();
    private readonly record = (signal: NodeJS.Signals): void => {
        this.received.add(signal);
    };

    constructor() {
        handledSignals.forEach(signal => process.on(signal, this.record));
    }

    /** Hands the signals that have arrived to the handlers that are installed by now. */
    repeat(): void {
        this[Symbol.dispose]();
        this.received.forEach(signal => process.emit(signal, signal));
        this.received.clear();
    }

    [Symbol.dispose](): void {
        handledSignals.forEach(signal => process.off(signal, this.record));
    }
}
