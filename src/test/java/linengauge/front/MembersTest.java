package linengauge.front;

import static linengauge.front.FrontFixture.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linengauge.Span;
import linengauge.drill.Ports;
import linengauge.membership.Member;
import linengauge.membership.MemberState;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Fleet membership of a front, beside a member that the test runs. */
class MembersTest {
  private static final String KEY = "a key of the whole fleet";

  @TempDir private Path dir;

  private static String memberSettings(int own, int seed, Path key) {
    return "members: { listen: '"
        + Ports.HOST
        + ":"
        + own
        + "', seeds: ['"
        + Ports.HOST
        + ":"
        + seed
        + "'], keyFile: '"
        + key
        + "', region: 3, periodMs: 100 }";
  }

  @Test
  void aFrontIsListedWhileItServesAndAnnouncesItsDeparture() throws Exception {
    Path key = Files.writeString(dir.resolve("key"), KEY + "\n");
    List<Integer> ports = Ports.free(2);
    Member own = new Member(1, Ports.HOST + ":" + ports.get(1), 0, 2);
    try (MembershipNode other =
        new MembershipNode(
            MembershipSettings.DEFAULT.withPeriod(Span.ofMillis(100)),
            own,
            List.of(),
            KEY.getBytes(StandardCharsets.UTF_8),
            n -> {})) {
      other.start();
      try (FrontFixture fixture =
          new FrontFixture(1, memberSettings(ports.get(0), ports.get(1), key)).start()) {
        waitUntil(
            () ->
                other.members().size() == 1
                    && fixture.state().getJsonObject("members").getJsonArray("others").size() == 1);
        JsonObject seen =
            fixture.state().getJsonObject("members").getJsonArray("others").getJsonObject(0);
        assertEquals("ALIVE", seen.getString("standing"));
        assertEquals(2, seen.getInteger("region"));
        assertEquals(
            new Member(0, Ports.HOST + ":" + ports.get(0), 0, 3), other.members().get(0).member());
      }
      waitUntil(() -> other.members().get(0).state() == MemberState.LEFT);
    }
  }

  @Test
  void aShortKeyFailsTheStart() throws Exception {
    Path key = Files.writeString(dir.resolve("key"), "short");
    List<Integer> ports = Ports.free(2);
    try (FrontFixture fixture =
        new FrontFixture(1, memberSettings(ports.get(0), ports.get(1), key))) {
      Exception e =
          assertThrows(Exception.class, () -> FrontFixture.await(fixture.newFront().start(7)));
      assertTrue(
          e.getMessage().contains("members.keyFile holds a key of fewer than 16 bytes"),
          e.getMessage());
    }
  }

  @Test
  void withoutMemberSettingsTheStateIsEmpty() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, "").start()) {
      assertEquals(new JsonObject(), fixture.state().getJsonObject("members"));
    }
  }
}
