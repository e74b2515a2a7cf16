/** Acknowledged writes to registers, whose values only increase; yields the lowest value that a read may return. */

interface AcknowledgedWrite {
    readonly value: number;
    readonly acknowledgedAtMs: number;
    readonly keyId: string;
}

export class RegisterHistory {
    private readonly writesByRegister = new Map<string, AcknowledgedWrite[]>();

    recordAcknowledgement(register: string, write: AcknowledgedWrite): void {
        const writes = this.writesByRegister.get(register);
        if (writes === undefined) {
            this.writesByRegister.set(register, [write]);
        }
        else {
            writes.push(write);
        }
    }

    /** Last acknowledged value of a register; 0 when no write was acknowledged. */
    lastAcknowledgedValue(register: string): number {
        return this.writesByRegister.get(register)?.at(-1)?.value ?? 0;
    }

    /**
     * Lowest value that a read may return.
     * @param sentAtMs time at which the read was sent
     * @param maximumAgeMs writes with other keys may be missing while younger than this; writes with `keyId` never
     */
    minimumVisibleValue(register: string, keyId: string, sentAtMs: number, maximumAgeMs: number): number {
        const visibleWrites = this.writesByRegister.get(register)?.filter(write =>
            write.acknowledgedAtMs <= sentAtMs - (write.keyId === keyId ? 0 : maximumAgeMs)
        );
        return Math.max(0, ...visibleWrites?.map(write => write.value) ?? []);
    }

    get registers(): readonly string[] {
        return [...this.writesByRegister.keys()];
    }
}
