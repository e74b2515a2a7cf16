/** Generated steps of a history: statements, faults, replication and time. */
import fc from "fast-check";

/** One step of a generated history. */
export type Step =
    | { readonly do: "statement"; readonly session: number; readonly choice: number; }
    | { readonly do: "resend"; readonly pick: number; }
    | { readonly do: "end session"; readonly session: number; }
    | { readonly do: "lose stream"; readonly session: number; }
    | { readonly do: "cut" | "silence" | "drop" | "stale result"; readonly pick: number; }
    | { readonly do: "refuse connections" | "accept connections" | "replicate all" | "expire lease" | "new epoch"; }
    | { readonly do: "replicate"; readonly replica: number; readonly count: number; }
    | { readonly do: "renew lease"; readonly forMs: number; }
    | { readonly do: "wait" | "freeze"; readonly forMs: number; };

const session = fc.integer({ min: 0, max: 3 });
const pick = fc.integer({ min: 0, max: 50 });
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    { weight: 28, arbitrary: fc.record({ do: fc.constant("statement" as const), session, choice: pick }) },
    { weight: 2, arbitrary: fc.record({ do: fc.constant("resend" as const), pick }) },
    { weight: 1, arbitrary: fc.record({ do: fc.constant("end session" as const), session }) },
    { weight: 1, arbitrary: fc.record({ do: fc.constant("lose stream" as const), session }) },
    {
        weight: 3,
        arbitrary: fc.record({ do: fc.constantFrom("cut" as const, "silence", "drop", "stale result"), pick }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            do: fc.constantFrom(
                "refuse connections" as const,
                "accept connections",
                ...Array.from({ length: 6 }, () => "replicate all" as const),
                "expire lease",
                "new epoch",
            ),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            do: fc.constant("replicate" as const),
            replica: fc.integer({ min: 1, max: 2 }),
            count: fc.integer({ min: 1, max: 4 }),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({ do: fc.constant("renew lease" as const), forMs: fc.integer({ min: 100, max: 3_000 }) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ do: fc.constant("freeze" as const), forMs: fc.integer({ min: 1, max: 2_000 }) }),
    },
    { weight: 12, arbitrary: fc.record({ do: fc.constant("wait" as const), forMs: fc.integer({ min: 0, max: 40 }) }) },
);
