package linengauge.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lindstrom.m3u8.parser.MasterPlaylistParser;
import io.lindstrom.m3u8.parser.MediaPlaylistParser;
import io.lindstrom.m3u8.parser.ParsingMode;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlaylistsTest {
  private static final UnaryOperator<String> REWRITER = uri -> Paths.viewingPath("7", "", uri);
  private static final String MULTIVARIANT =
      """
            #EXTM3U
            #EXT-X-VERSION:6
            #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="hi",NAME="es, \\"alto\\"",URI="audio/hi.m3u8"
            #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="lo",NAME="es",URI="audio/lo.m3u8"
            #EXT-X-STREAM-INF:BANDWIDTH=900000,CODECS="avc1,mp4a",AUDIO="hi"
            high.m3u8
            #EXT-X-STREAM-INF:BANDWIDTH=300000,AUDIO="lo"
            low.m3u8
            #EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90,URI="trick.m3u8"
            #EXT-X-OWN-TAG:kept=yes
            """
          .replace(", \\\"alto\\\"", ", alto");
  private static final String MEDIA =
      """
            #EXTM3U
            #EXT-X-VERSION:4
            #EXT-X-TARGETDURATION:6
            #EXT-X-MEDIA-SEQUENCE:42
            #EXT-X-KEY:METHOD=AES-128,URI="keys/1?x=2",IV=0x1F
            #EXT-X-MAP:URI="init.mp4",BYTERANGE="720@0"
            #EXT-X-OWN-TAG:a=b
            #EXTINF:6.0,a title
            #EXT-X-BYTERANGE:1000@720
            part one.mp4
            #EXT-X-DISCONTINUITY
            #EXTINF:5.5,
            segments/../segments/2.ts
            #EXT-X-ENDLIST
            """
          .replace("part one", "part%20one");

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void keepsOneVariantWithItsRenditions() throws Exception {
    String low = Playlists.multivariant(bytes(MULTIVARIANT), 0, "/v/7/media.m3u8", REWRITER);
    assertTrue(low.contains("BANDWIDTH=300000") && !low.contains("900000"), low);
    assertTrue(
        low.contains("URI=\"/v/7/m/audio/lo.m3u8\"")
            && !low.contains("hi.m3u8")
            && !low.contains("trick"),
        low);
    assertTrue(low.contains("#EXT-X-OWN-TAG:kept=yes"), low);
    String high = Playlists.multivariant(bytes(MULTIVARIANT), 9, "/v/7/media.m3u8", REWRITER);
    assertTrue(high.contains("BANDWIDTH=900000") && high.contains("NAME=\"es, alto\""), high);
    var parsed = new MasterPlaylistParser(ParsingMode.LENIENT).readPlaylist(high);
    assertEquals(1, parsed.variants().size());
    assertEquals("/v/7/media.m3u8", parsed.variants().get(0).uri());
  }

  @Test
  void rewritesOnlyTheUrisOfAMediaPlaylist() throws Exception {
    String rewritten = Playlists.media(bytes(MEDIA), REWRITER);
    var parsed = new MediaPlaylistParser(ParsingMode.LENIENT).readPlaylist(rewritten);
    assertEquals(42, parsed.mediaSequence());
    assertEquals(6, parsed.targetDuration());
    assertEquals("/v/7/m/segments/2.ts", parsed.mediaSegments().get(1).uri());
    assertTrue(parsed.mediaSegments().get(0).byteRange().isPresent());
    assertTrue(
        rewritten.contains("METHOD=AES-128,URI=\"/v/7/e/") && rewritten.contains(",IV=0x1F"),
        rewritten);
    assertTrue(
        rewritten.contains("URI=\"/v/7/m/init.mp4\",BYTERANGE=\"720@0\"")
            && rewritten.contains("#EXT-X-OWN-TAG:a=b"),
        rewritten);
    String encoded = parsed.mediaSegments().get(0).uri();
    assertEquals(
        "part%20one.mp4",
        Paths.boxPath(encoded.substring("/v/7/".length())),
        "the encoded path decodes to the original");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "<html>",
        "#EXTM3U8\n",
        "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n",
        "#EXTM3U\n#EXT-X-STREAM-INF:AUDIO=\"x\"\nlow.m3u8\n",
        "#EXTM3U\n",
        "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1,BANDWIDTH=2\nlow.m3u8\n",
        "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1,CODECS=\"a\nlow.m3u8\n"
      })
  void rejectsMalformedMultivariantPlaylists(String text) {
    assertThrows(
        MalformedPlaylistException.class,
        () -> Playlists.multivariant(bytes(text), 0, "x", REWRITER));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "#EXTM3U\n#EXTINF:1,\na.ts\n",
        "#EXTM3U\n#EXT-X-TARGETDURATION:x\n",
        "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\n#EXTINF:1,\na.ts\n"
      })
  void rejectsMalformedMediaPlaylists(String text) {
    assertThrows(MalformedPlaylistException.class, () -> Playlists.media(bytes(text), REWRITER));
    assertThrows(
        MalformedPlaylistException.class,
        () -> Playlists.media(new byte[] {'#', 'E', (byte) 0xff}, REWRITER));
  }

  @Test
  void noUriLeavesTheViewing() {
    for (String uri :
        new String[] {"http://else.where/x.ts", "//else/x", "/etc/x", "../x.ts", "a/../../x", ""}) {
      assertTrue(Paths.viewingPath("7", "", uri).endsWith("/refused"), uri);
    }
    assertEquals("/v/7/m/up/x.ts", Paths.viewingPath("7", "up/down/", "../x.ts"));
    assertNull(Paths.boxPath("m/../../secret"));
    assertNull(Paths.boxPath("e/!!"));
    assertNull(Paths.boxPath("e/Li4vLi4vYQ"), "an encoded ../../a");
    assertNull(Paths.boxPath("refused"));
    assertFalse(Paths.viewingPath("7", "", "a b").contains(" "));
  }
}
