/** Explains at which database a statement would be placed now. Decides as `Routing` does for a statement of a new session. */
import { expectedWaitMs } from "../model/databaseLoad.ts";
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    type Facts,
    type Finding,
    roundMs,
    Verdict,
    withFindings,
} from "../model/explanation.ts";
import type { DatabaseReport } from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import type { RoutePolicy } from "../model/trafficPolicy.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { ReadCost } from "../scheduling/databaseCost.ts";
import type { CommitGate } from "./commitGate.ts";
import type { DatabaseTable } from "./databaseTable.ts";
import type { FloorRequests } from "./floorRequests.ts";
import {
    type PassedOver,
    PassOverReason,
    type PlacementDemand,
    type PlacementRules,
    soonest,
} from "./placementRule.ts";

/** What the decision rests on. */
export interface PlacementState {
    readonly databases: DatabaseTable;
    readonly rules: PlacementRules;
    readonly floors: FloorRequests;
    readonly commitGate: CommitGate;
    /** Whether commits of the service wait for a lease on acknowledgements. */
    readonly lacksLease: boolean;
    readonly random: SeededRandom;
    /** Share of the statement limit that one attempt at a read may take. */
    readonly readAttemptShare: number;
}

const step = "routing";

const passOverTexts: Readonly<Record<PassOverReason, string>> = {
    [PassOverReason.Draining]: "it leaves, and takes no more reads",
    [PassOverReason.Unreachable]: "suspected: it was not reached or did not answer",
    [PassOverReason.Lagging]: "it lags behind the position that the read needs",
    [PassOverReason.Evacuated]: "its data centre is evacuated",
    [PassOverReason.OutsideHome]: "outside of the home regions",
    [PassOverReason.Cold]: "it has started recently, and this instance has used up its part of what it bears",
};

const notPrimaryText = "only the primary may run it";

export function explainPlacement(
    asked: ExplanationAsked,
    state: PlacementState,
    nowMs: number,
): ExplanationAsked | ExplanationEnded {
    // The numbers that the next statement would draw decide here too, so that it goes where this tells.
    return state.random.peek(() => new PlacementQuestion(asked, state, nowMs).answer());
}

class PlacementQuestion {
    private readonly asked: ExplanationAsked;
    private readonly state: PlacementState;
    private readonly nowMs: number;
    private readonly route: RoutePolicy;
    private readonly demand: PlacementDemand;
    private readonly reports: readonly DatabaseReport[];
    private readonly primaryId: string | undefined;

    constructor(asked: ExplanationAsked, state: PlacementState, nowMs: number) {
        this.asked = asked;
        this.state = state;
        this.nowMs = nowMs;
        this.route = asked.route!;
        const { request: { workspace }, route, homeRegions } = asked;
        this.demand = { route: route!, workspace, ...homeRegions === undefined ? {} : { homeRegions } };
        this.reports = state.databases.reportsOf(this.route.service);
        this.primaryId = state.databases.primary(this.route.service, nowMs);
    }

    answer(): ExplanationAsked | ExplanationEnded {
        if (this.demand.homeRegions?.length === 0) {
            const reason = "the route and the workspace have no home region in common";
            return endExplanation(this.asked, [this.onService(Verdict.Refused, reason, {})]);
        }
        return this.asked.request.writes || this.route.maximumAgeMs === 0 ? this.atPrimary() : this.forRead();
    }

    private atPrimary(): ExplanationAsked | ExplanationEnded {
        const { reports, primaryId, state: { databases, rules } } = this;
        const others = reports.filter(({ databaseId }) => databaseId !== primaryId).map(report =>
            this.passedOver(report, this.objection(report), notPrimaryText)
        );
        const primary = primaryId === undefined ? undefined : databases.report(primaryId)!;
        const objection = primary === undefined
            ? rules.checkAll(reports, this.demand, this.nowMs)
            : this.objection(primary);
        if (this.asked.request.writes && this.state.lacksLease) {
            return this.waitFor("a write waits until a control leader has been in contact", others);
        }
        if (primary !== undefined && objection === undefined) {
            const reason = this.asked.request.writes ? "the primary" : "the primary, which the route reads";
            const chosen = this.onDatabase(primary, Verdict.Chosen, reason, {});
            return this.placeAt(primary.databaseId, undefined, [chosen, ...this.commitFindings(primary), ...others]);
        }
        const all = primary === undefined ? others : [this.passedOver(primary, objection), ...others];
        return objection === undefined
            ? this.waitFor("no primary is known that answers", all)
            : this.waitOrRefuse(objection, all);
    }

    private forRead(): ExplanationAsked | ExplanationEnded {
        const { asked, reports, nowMs, state: { databases, rules, floors } } = this;
        const { service, maximumAgeMs, priority } = this.route;
        const floor = floors.floorFor({ route: this.route, receivedMs: nowMs, sessionFloor: undefined });
        const floorFinding = this.explainFloor(floor);
        const objection = rules.checkAll(reports, this.demand, nowMs);
        if (objection !== undefined) {
            return this.waitOrRefuse(objection, [floorFinding, ...this.passedOverAll(new Map())]);
        }
        const allowed = reports.filter(report => this.objection(report) === undefined);
        const objections = new Map(
            allowed.map(({ databaseId }) => [databaseId, databases.passOverForRead(databaseId, nowMs, floor)]),
        );
        const usable = [...objections.keys()].filter(databaseId => objections.get(databaseId) === undefined);
        const costs = databases.costsOfRead(
            usable,
            new Set(),
            { priority, workspace: asked.request.workspace },
            nowMs,
        );
        const findings = [
            floorFinding,
            ...costs.map((cost, index) => this.explainCost(cost, index === 0)),
            ...this.passedOverAll(objections),
        ];
        const chosenId = costs[0]?.candidate.databaseId;
        if (chosenId !== undefined) {
            return this.placeAt(chosenId, floor, findings);
        }
        const leaving = [...objections.values()].filter(each => each?.reason === PassOverReason.Draining);
        const allLeave = allowed.length > 0 && leaving.length === allowed.length;
        return this.demand.homeRegions !== undefined && allLeave
            ? this.refuse(soonest(leaving.filter(each => each !== undefined))!, findings)
            : this.waitFor(`no database of "${service}" is recent enough or free`, findings, {
                maximum_age_ms: maximumAgeMs,
            });
    }

    private explainFloor(floor: Position | undefined): Finding {
        const { service, maximumAgeMs } = this.route;
        const provedMs = this.state.floors.newestProofMs(service);
        const facts = {
            maximum_age_ms: maximumAgeMs,
            ...provedMs === undefined ? {} : { newest_position_age_ms: roundMs(this.nowMs - provedMs) },
        };
        return floor === undefined
            ? this.onService(
                Verdict.Waits,
                "no position of the primary is recent enough; the read waits for one, which the databases below are taken to have",
                facts,
            )
            : this.onService(Verdict.Passes, "a position of the primary is known that the read has to see", {
                position: `${floor.term}/${floor.offset}`,
                ...facts,
            });
    }

    private explainCost({ candidate, ...cost }: ReadCost, isFirst: boolean): Finding {
        const report = this.state.databases.report(candidate.databaseId)!;
        return this.onDatabase(
            report,
            isFirst ? Verdict.Chosen : Verdict.PassedOver,
            isFirst ? "the lowest cost" : "a higher cost",
            {
                cost_ms: roundMs(cost.costMs),
                distance: candidate.distance,
                wait_ms: roundMs(cost.waitMs),
                shortest_ms: roundMs(cost.shortestMs),
                added_latency_ms: roundMs(cost.addedLatencyMs),
                own_in_flight: cost.inFlight,
            },
        );
    }

    /** @param objections of what is known of the databases that the rules allow */
    private passedOverAll(objections: ReadonlyMap<string, PassedOver | undefined>): readonly Finding[] {
        return this.reports.flatMap(report => {
            const objection = this.objection(report) ?? objections.get(report.databaseId);
            return objection === undefined ? [] : [this.passedOver(report, objection)];
        });
    }

    private objection(report: DatabaseReport): PassedOver | undefined {
        return this.state.rules.check(report, this.demand, this.nowMs);
    }

    private passedOver(report: DatabaseReport, objection: PassedOver | undefined, otherwise = ""): Finding {
        return objection === undefined
            ? this.onDatabase(report, Verdict.PassedOver, otherwise, {})
            : this.onDatabase(report, Verdict.PassedOver, passOverTexts[objection.reason], {
                retry_after_ms: roundMs(objection.retryAfterMs),
            });
    }

    /** The commit gate delays nothing, but what passes it is not acknowledged. */
    private commitFindings(primary: DatabaseReport): readonly Finding[] {
        const mayAcknowledge = this.state.commitGate.mayAcknowledge(this.route.service, primary.databaseId);
        return !this.asked.request.writes || mayAcknowledge ? [] : [
            this.onDatabase(
                primary,
                Verdict.Passes,
                "the primary is being replaced: the write would run, and be answered as in doubt",
                {},
            ),
        ];
    }

    private waitOrRefuse(objection: PassedOver, findings: readonly Finding[]): ExplanationEnded {
        const mayWait = objection.reason !== PassOverReason.OutsideHome
            && objection.retryAfterMs < this.route.targetLatencyMs;
        return mayWait
            ? this.waitFor("every database that could run it is passed over for now", findings, {
                retry_after_ms: roundMs(objection.retryAfterMs),
            })
            : this.refuse(objection, findings);
    }

    private refuse({ retryAfterMs }: PassedOver, findings: readonly Finding[]): ExplanationEnded {
        const reason = "every database that could run it is passed over";
        const facts = { retry_after_ms: roundMs(retryAfterMs) };
        return endExplanation(this.asked, [...findings, this.onService(Verdict.Refused, reason, facts)]);
    }

    private waitFor(reason: string, findings: readonly Finding[], facts: Facts = {}): ExplanationEnded {
        const limit = { limit_ms: this.route.statementLimitMs, ...facts };
        return endExplanation(this.asked, [...findings, this.onService(Verdict.Waits, reason, limit)]);
    }

    private placeAt(databaseId: string, floor: Position | undefined, findings: readonly Finding[]): ExplanationAsked {
        const { statementLimitMs } = this.route;
        const share = this.asked.request.writes ? 1 : this.state.readAttemptShare;
        const placement = {
            databaseId,
            floor,
            attemptLimitMs: share * statementLimitMs,
            load: this.toldLoad(databaseId),
        };
        return withFindings(this.asked, findings, { placement });
    }

    private toldLoad(databaseId: string): Facts {
        const told = this.state.databases.toldLoad(databaseId);
        return told === undefined ? {} : {
            load_age_ms: roundMs(this.nowMs - told.atMs),
            expected_wait_ms: roundMs(expectedWaitMs(told.load, this.route.priority)),
            window: told.load.window,
            in_flight: told.load.inFlight,
            available_links: told.load.availableLinks,
            busy_share: Math.round(100 * told.load.busyShare) / 100,
        };
    }

    private onDatabase(
        { databaseId, dataCentre, leads }: DatabaseReport,
        verdict: Verdict,
        reason: string,
        facts: Facts,
    ): Finding {
        const role = leads ? "primary" : "replica";
        return { step, subject: databaseId, verdict, reason, facts: { data_centre: dataCentre, role, ...facts } };
    }

    private onService(verdict: Verdict, reason: string, facts: Facts): Finding {
        return { step, subject: this.route.service, verdict, reason, facts };
    }
}
