/** Error lines for documents that the process cannot apply in full: one for each version and process. */
import { FleetKind, type PolicyIncomplete } from "../model/fleetMessages.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { Logger } from "./logger.ts";

export class PolicyIncompleteLog implements Sink<PolicyIncomplete> {
    readonly accepts = [FleetKind.PolicyIncomplete];
    private readonly logger: Logger;

    constructor(logger: Logger) {
        this.logger = logger;
    }

    deliver({ kind, documentVersion, versionInForce, omittedEntries }: PolicyIncomplete): void {
        const [first] = omittedEntries;
        this.logger.error(kind, {
            version: documentVersion,
            inForce: versionInForce,
            entry: first?.entryId,
            reason: first?.reason,
            entries: omittedEntries.length,
        });
    }
}
