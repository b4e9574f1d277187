import {empty, type Stream} from 'most';
import {MemberView, type Member} from '../../process/member-view.js';

/** Members of a host that knows no other host: itself. */
export class SingleHostMemberView extends MemberView {
  override readonly changes = empty() as Stream<Member>;

  /**
   * @param place - Name, zone and region of this host.
   * @param configOffset - Reads the offset of the configuration in effect here.
   */
  constructor(
    private readonly place: {host: string; zone: string; region: string},
    private readonly configOffset: () => number,
  ) {
    super();
  }

  override get self(): Member {
    const {host, zone, region} = this.place;
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
    return zone === undefined || zone === this.place.zone ? [this.self] : [];
  }
}
