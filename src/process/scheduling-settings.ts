/** Parts of the scheduler that a deployment asks for in its settings; all are off by default. */
export interface SchedulingSettings {
  /** Divides scarce slots evenly between organisations, over all hosts. */
  readonly organisationShares: boolean;
  /** Refuses at once what cannot be served in time, and lets refused callers return when there is room. */
  readonly overloadAdmission: boolean;
  /** Uses how long work takes on a target's machine at the moment, where targets state it. */
  readonly pace: boolean;
  /** Decides when requests leave their availability zone, and how many. */
  readonly zoneTransfers: boolean;
}

/** Settings of a deployment that asks for none of the parts. */
export const noScheduling: SchedulingSettings = {
  organisationShares: false,
  overloadAdmission: false,
  pace: false,
  zoneTransfers: false,
};
