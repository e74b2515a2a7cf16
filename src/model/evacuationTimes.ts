/** The evacuations in force, with the time at which this process learnt of each. */
export class EvacuationTimes {
    private readonly learntMs = new Map<string, number>();
    private hasPolicy = false;

    /**
     * Replaces the evacuations in force. Those of the first call were ordered at an unknown time before it.
     * @returns whether an evacuation began
     */
    apply(evacuated: ReadonlySet<string>, nowMs: number): boolean {
        [...this.learntMs.keys()].filter(dataCentre => !evacuated.has(dataCentre))
            .forEach(dataCentre => this.learntMs.delete(dataCentre));
        const begun = [...evacuated].filter(dataCentre => !this.learntMs.has(dataCentre));
        begun.forEach(dataCentre => this.learntMs.set(dataCentre, this.hasPolicy ? nowMs : -Infinity));
        this.hasPolicy = true;
        return begun.length > 0;
    }

    /** -Infinity if it was ordered at an unknown time; undefined without an evacuation of the data centre. */
    learntAtMs(dataCentre: string): number | undefined {
        return this.learntMs.get(dataCentre);
    }

    /** The times of all evacuations in force. */
    all(): readonly number[] {
        return [...this.learntMs.values()];
    }
}
