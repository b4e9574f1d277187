import {empty, type Stream} from 'most';
import {MemberView, type Member} from '../../process/member-view.js';

/** Member view of a host that runs without peers: its only member is the host itself. */
export class SingleHostMemberView extends MemberView {
  override readonly changes = empty() as Stream<Member>;

  /**
   * @param location - Name, zone and region of this host.
   * @param configOffset - Reads the configuration offset that is in effect at this host.
   */
  constructor(
    private readonly location: {host: string; zone: string; region: string},
    private readonly configOffset: () => number,
  ) {
    super();
  }

  override get self(): Member {
    const {host, zone, region} = this.location;
    return {
      id: host,
      zone,
      region,
      peerAddress: '',
      incarnation: 0,
      state: 'alive',
      configOffset: this.configOffset(),
    };
  }

  override live(zone?: string): readonly Member[] {
    return zone === undefined || zone === this.location.zone ? [this.self] : [];
  }
}
