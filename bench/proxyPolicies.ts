/** The proxy's policy for slots and reads, and the baselines that it is compared with. */
import type { AdmittedRequest } from "../src/request/requestMessages.ts";

export interface ProxyPolicy {
    readonly name: string;
    /** Returns the request that the entry instance gets instead of `request`, which was admitted at `admittedAtMs`. */
    prepare(request: AdmittedRequest, admittedAtMs: number): AdmittedRequest;
}

export class ProductSlots implements ProxyPolicy {
    readonly name = "product";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return request;
    }
}

/** Every read requires current data, which only the primary has. */
export class ReadsOnPrimary implements ProxyPolicy {
    readonly name = "reads on the primary";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return { ...request, targets: { ...request.targets, maximumAgeMs: 0 } };
    }
}

/** All statements belong to one workspace and one class, so that slots are assigned in order of arrival. */
export class FirstComeFirstServed implements ProxyPolicy {
    readonly name = "first come first served";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return { ...request, workspace: "all", workClass: "all" };
    }
}

// Enough for a floor request and the way to a holder in another data centre, but not for waiting for a slot.
const networkTimeMs = 20;

/** A statement is refused if no slot is free when it reaches the holder. */
export class NoSlotWaiting implements ProxyPolicy {
    readonly name = "no waiting for slots";

    prepare(request: AdmittedRequest, admittedAtMs: number): AdmittedRequest {
        return { ...request, deadlineMs: Math.min(request.deadlineMs, admittedAtMs + networkTimeMs) };
    }
}

export const proxyPolicies: readonly ProxyPolicy[] = [
    new ProductSlots(),
    new ReadsOnPrimary(),
    new FirstComeFirstServed(),
    new NoSlotWaiting(),
];
