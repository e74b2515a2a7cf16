/** Passes the demands in heartbeats on to the filter that divides the rates of workspaces. */
import { HealthKind, type HeartbeatChecked } from "../model/healthMessages.ts";
import { RateKind, type RatesDemand } from "../model/rateMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

export class DemandReports implements Filter<HeartbeatChecked, Message> {
    readonly step = "demand_reports";
    readonly accepts = [HealthKind.HeartbeatChecked];

    process(checked: HeartbeatChecked): readonly Message[] {
        const demands = checked.heartbeat.demands.map((demand): RatesDemand => ({ kind: RateKind.Demand, ...demand }));
        return [checked, ...demands];
    }
}
