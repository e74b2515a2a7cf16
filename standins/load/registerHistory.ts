/** Acknowledged writes of registers, whose values only rise; tells which value a read must at least return. */

interface Write {
    readonly value: number;
    readonly acknowledgedMs: number;
    readonly keyId: string;
}

export class RegisterHistory {
    private readonly writes = new Map<string, Write[]>();

    acknowledge(register: string, write: Write): void {
        const known = this.writes.get(register);
        if (known === undefined) {
            this.writes.set(register, [write]);
        }
        else {
            known.push(write);
        }
    }

    /** The last acknowledged value of a register, 0 without one. */
    lastValue(register: string): number {
        return this.writes.get(register)?.at(-1)?.value ?? 0;
    }

    /**
     * Lowest value that a read may return.
     * @param startMs time at which the read was sent
     * @param maximumAgeMs age that the read accepts of writes under other keys; its own key's writes it always sees
     */
    floor(register: string, keyId: string, startMs: number, maximumAgeMs: number): number {
        const visible = this.writes.get(register)?.filter(write =>
            write.acknowledgedMs <= startMs - (write.keyId === keyId ? 0 : maximumAgeMs)
        );
        return Math.max(0, ...visible?.map(write => write.value) ?? []);
    }

    get registers(): readonly string[] {
        return [...this.writes.keys()];
    }
}
