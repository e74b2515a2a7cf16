/** The leader's decisions about the primaries of all groups. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { CommandKind, ControlKind, type ControlProposalEnded, type ControlPropose } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import {
    type ChangePrimary,
    type DirectoryChanged,
    type DirectoryEntry,
    HealthKind,
    type HeartbeatChecked,
    type LeadershipStarted,
    type LeaderTicked,
    type LeaseEnded,
} from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { groupToPropose, hasMajorityAnnounced } from "./groupFormation.ts";
import { GroupStateMachine } from "./groupStateMachine.ts";
import type { GroupViewSource, ReceivedReport } from "./groupView.ts";
import { InstanceTable } from "./instanceTable.ts";

/** Interval of the heartbeats of holders whose group is changing or whose primary is suspected. */
const urgentHeartbeatMs = 50;

type Input =
    | ChangePrimary
    | ConfigurationApplied
    | ControlProposalEnded
    | DirectoryChanged
    | HeartbeatChecked
    | LeaderTicked
    | LeaseEnded
    | LeadershipStarted;

/** Work per tick is linear in the groups; work per heartbeat is linear in the databases that its sender holds. */
export class Failover implements Filter, GroupViewSource {
    readonly step = "failover";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ControlKind.ProposalEnded,
        HealthKind.ChangePrimary,
        HealthKind.DirectoryChanged,
        HealthKind.HeartbeatChecked,
        HealthKind.LeaderTicked,
        HealthKind.LeaseEnded,
        HealthKind.LeadershipStarted,
    ];
    leadershipStartMs = 0;
    private leaderTerm = 0;
    private readonly instances = new InstanceTable();
    private readonly directoryEntries = new Map<string, DirectoryEntry>();
    private readonly entryIdsByGroup = new Map<string, Set<string>>();
    private readonly reports = new Map<string, ReceivedReport>();
    private readonly stateMachines = new Map<string, GroupStateMachine>();
    private readonly stateMachineByDatabase = new Map<string, GroupStateMachine>();
    private readonly openProposals = new Map<string, string>();
    /** Groups whose members may differ from the agreed ones. */
    private readonly groupsToCheck = new Set<string>();
    private readonly majoritySinceMs = new Map<string, number>();
    private configuration: Configuration = emptyConfiguration;
    private holders: ReadonlyMap<string, string> = new Map();

    process(message: Message, nowMs: number): readonly Message[] {
        // The most frequent kind first: 940 heartbeats a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.checked(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => this.start(started, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.useConfiguration(applied.configuration);
                return [applied];
            })
            .with({ kind: ControlKind.ProposalEnded }, ended => [...this.proposalEnded(ended, nowMs), ended])
            .with({ kind: HealthKind.ChangePrimary }, ({ groupId }) => {
                this.stateMachines.get(groupId)?.requestChange();
                return [];
            })
            .with({ kind: HealthKind.DirectoryChanged }, changed => {
                this.recordEntry(changed.entry);
                return [changed];
            })
            .with({ kind: HealthKind.LeaseEnded }, ({ databaseId, changeId }) => {
                return this.stateMachineByDatabase.get(databaseId)?.onLeaseEnded(changeId, nowMs) ?? [];
            })
            .with({ kind: HealthKind.LeaderTicked }, ticked => [...this.tick(nowMs), ticked])
            .exhaustive();
    }

    directoryEntry(databaseId: string): DirectoryEntry | undefined {
        return this.directoryEntries.get(databaseId);
    }

    latestReport(databaseId: string): ReceivedReport | undefined {
        return this.reports.get(databaseId);
    }

    holderOf(databaseId: string): string | undefined {
        return this.holders.get(databaseId);
    }

    hasAvailableInstances(dataCentre: string, nowMs: number): boolean {
        return this.instances.candidatesByDataCentre(nowMs).has(dataCentre);
    }

    private start(started: LeadershipStarted, nowMs: number): readonly Message[] {
        this.leadershipStartMs = nowMs;
        this.leaderTerm = started.term;
        [
            this.directoryEntries,
            this.entryIdsByGroup,
            this.reports,
            this.stateMachines,
            this.stateMachineByDatabase,
            this.openProposals,
        ]
            .forEach(map => map.clear());
        this.majoritySinceMs.clear();
        this.groupsToCheck.clear();
        this.instances.clear();
        this.useConfiguration(this.configuration);
        return [started];
    }

    private useConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
        this.holders = new Map(
            configuration.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease.instanceId]),
        );
        for (const group of configuration.groups) {
            let machine = this.stateMachines.get(group.groupId);
            if (machine === undefined) {
                machine = new GroupStateMachine(group, this, this.leaderTerm);
                this.stateMachines.set(group.groupId, machine);
            }
            if (machine.group !== group) {
                // A change of primary may have overtaken the addition of a member.
                this.groupsToCheck.add(group.groupId);
            }
            machine.group = group;
            group.memberIds.forEach(memberId => this.stateMachineByDatabase.set(memberId, machine));
        }
    }

    private recordEntry(entry: DirectoryEntry): void {
        const { databaseId, groupId } = entry.announcement;
        this.directoryEntries.set(databaseId, entry);
        this.groupsToCheck.add(groupId);
        const ids = this.entryIdsByGroup.get(groupId);
        this.entryIdsByGroup.set(groupId, (ids ?? new Set()).add(databaseId));
    }

    private proposalEnded(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        for (const [groupId, proposalId] of this.openProposals) {
            if (proposalId === ended.proposalId) {
                this.openProposals.delete(groupId);
            }
        }
        return [...this.stateMachines.values()]
            .filter(machine => !machine.isSteady)
            .flatMap(machine => machine.onProposalEnded(ended, nowMs));
    }

    private checked(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        this.instances.recordHeartbeat(heartbeat, nowMs);
        const messages: Message[] = [];
        const own = new Set(heartbeat.held.map(report => this.stateMachineByDatabase.get(report.databaseId)));
        own.delete(undefined);
        for (const result of heartbeat.orderResults) {
            own.forEach(machine => messages.push(...machine!.onOrderResult(result, nowMs)));
        }
        for (const report of heartbeat.held) {
            if (this.holderOf(report.databaseId) === heartbeat.instanceId) {
                this.reports.set(report.databaseId, { report, instanceId: heartbeat.instanceId, receivedAtMs: nowMs });
                messages.push(...this.stateMachineByDatabase.get(report.databaseId)?.onReport(report, nowMs) ?? []);
            }
        }
        return [...messages, this.fillAnswer(checked, nowMs)];
    }

    private fillAnswer(checked: HeartbeatChecked, nowMs: number): HeartbeatChecked {
        const { answer } = checked;
        const renewed = answer.renewed.filter(lease => lease.resource === ResourceKind.Database);
        const stateMachines = renewed.map(lease =>
            [lease.resourceId, this.stateMachineByDatabase.get(lease.resourceId)] as const
        );
        const asks = stateMachines.map(([databaseId, machine]) => machine?.positionAskFor(databaseId));
        const orders = stateMachines.map(([databaseId, machine]) => {
            return this.latestReport(databaseId)?.report.reachable ? machine?.orderFor(databaseId, nowMs) : undefined;
        });
        const urgent = stateMachines.some(([, machine]) => machine?.needsFrequentHeartbeats(nowMs));
        return {
            ...checked,
            answer: {
                ...answer,
                asks: asks.filter(ask => ask !== undefined),
                orders: orders.filter(order => order !== undefined),
                nextHeartbeatMs: urgent ? urgentHeartbeatMs : answer.nextHeartbeatMs,
            },
        };
    }

    private tick(nowMs: number): readonly Message[] {
        return [...this.formGroups(nowMs), ...this.decideAll(nowMs)];
    }

    private decideAll(nowMs: number): readonly Message[] {
        return [...this.stateMachines.values()]
            .filter(machine => !this.openProposals.has(machine.group.groupId))
            .flatMap(machine => machine.decide(nowMs));
    }

    private formGroups(nowMs: number): readonly ControlPropose[] {
        const proposals: ControlPropose[] = [];
        for (const groupId of this.groupsToCheck) {
            const machine = this.stateMachines.get(groupId);
            if (this.openProposals.has(groupId) || !(machine?.isSteady ?? true)) {
                continue;
            }
            const directoryEntries = [...this.entryIdsByGroup.get(groupId) ?? []].map(databaseId =>
                this.directoryEntries.get(databaseId)!
            );
            const group = groupToPropose(
                machine?.group,
                directoryEntries,
                this.waitedMs(groupId, directoryEntries, nowMs),
            );
            if (group !== undefined) {
                proposals.push(this.proposeGroup(group, machine?.group.term ?? 0));
            }
            else if (machine !== undefined) {
                this.groupsToCheck.delete(groupId);
            }
        }
        return proposals;
    }

    private waitedMs(groupId: string, directoryEntries: readonly DirectoryEntry[], nowMs: number): number {
        if (!hasMajorityAnnounced(directoryEntries)) {
            this.majoritySinceMs.delete(groupId);
            return 0;
        }
        const sinceMs = this.majoritySinceMs.get(groupId) ?? nowMs;
        this.majoritySinceMs.set(groupId, sinceMs);
        return nowMs - sinceMs;
    }

    private proposeGroup(group: DatabaseGroup, expectedTerm: number): ControlPropose {
        const proposalId = `group/${this.leaderTerm}/${group.groupId}/${group.memberIds.length}`;
        this.openProposals.set(group.groupId, proposalId);
        const command = { kind: CommandKind.SetGroup, expectedTerm, group } as const;
        return { kind: ControlKind.Propose, proposalId, operationId: "", command };
    }
}
